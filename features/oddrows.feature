@platform
Feature: Odd rows of other writers cost only themselves
  # Guards against one row that stops the reading of a whole table: a port of 5,000 digits raised an
  # error that nobody expected, so that instances that started knew no server.

  Scenario Outline: Whatever a field holds, a row is decoded or refused as malformed
    When rows of <table> are read with each odd value in each field, and as a whole
    Then each is decoded or refused as malformed, in at most 400 characters
    And what is decoded can be sent, logged and called

    Examples:
      | table           |
      | servers         |
      | instances       |
      | versions        |
      | confirmations   |
      | stream origins  |
      | suspicions      |
      | part suspicions |
      | configurations  |

  Scenario Outline: Whatever the key is, a row is decoded or refused as malformed
    When rows of <table> are read with each odd key
    Then each is decoded or refused as malformed, in at most 400 characters
    And what is decoded can be sent, logged and called

    Examples:
      | table           |
      | servers         |
      | instances       |
      | suspicions      |
      | part suspicions |

  Scenario Outline: An address that cannot be called names no server
    When a server's entry is read with address as <address>
    Then it yields no server

    Examples:
      | address                  |
      | a port of 5000 digits    |
      | "10.0.0.1:00080"         |
      | "10.0.0.1:+80"           |
      | "10.0.0.1: 80"           |
      | "10.0.0.1:80\n"          |
      | "10.0.0.1:\u0661\u0662"  |
      | "10.0.0.1:\u00b2"        |
      | "0.0.0.0:80"             |
      | "224.0.0.1:80"           |
      | "255.255.255.255:80"     |
      | "[::1]:80"               |

  Scenario: No two entries give their servers one name
    When entries of llm, started at 5, and of llm@5, with no start, are read
    Then their servers have names of their own

  Scenario Outline: A page of the store with an odd row holds the others
    Given a store whose page has a row <row> between two sound ones
    When the table is read
    Then it has the sound rows

    Examples:
      | row                         |
      | without a key               |
      | with a number as its key    |
      | with a lone surrogate       |
      | without a version           |
      | with a text as its version  |
      | that is no object           |

  Scenario: A page that ends with an odd row does not hide the next one
    Given a store of two pages, the first of which ends with a row without a key
    When the table is read
    Then it has the sound rows

  Scenario Outline: An answer of the store that is no page counts as no answer
    Given a store whose pages are <answer>
    When an instance follows a table of it
    Then the store counts as unreachable, and the task goes on

    Examples:
      | answer                 |
      | no JSON                |
      | deeply nested JSON     |
      | a list                 |
      | an object without rows |
      | rows that are a number |
      # Guards against a table that is taken for empty: it ended with a page that says it goes on.
      | an object with no rows but more pages |
      | a version of 5000 digits |

  @forwarding
  Scenario Outline: Instances that start beside an odd entry serve by the others
    # All instances have ended, so that nobody else knows the list.
    Given a fleet that reads the platform's entries, of instances a-1, a-2
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And an entry that is <odd>
    When all instances are stopped and started again
    And 2000 ms pass
    Then every instance knows desk-1, desk-2, llm-1 and llm-2 alone
    And the entry is counted as malformed and named in the log
    And no task was restarted
    When the entry is replaced by a sound one
    And 2000 ms pass
    Then every instance knows the server of the entry as well

    Examples:
      | odd                           |
      | a port of 5000 digits         |
      | nested 500000 deep            |
      | a number of 5000 digits       |
      | a lone surrogate as version   |
