@platform
Feature: Answers that belong to other calls
  # Guards against an unsafe request that is sent to a second server while the first one runs it:
  # a late refusal of the request before it was believed.
  Scenario Outline: A late extra answer says nothing about the request that waits
    Given a backend server that sends <extra> to the request before each of its answers
    When requests r1, r2 and r3 are sent to it one after the other
    Then r1 and r3 are answered, and r2 ends with code 3010 and may have run
    And they went over 2 connections
    And the extra answer gave no notice

    Examples:
      | extra                               |
      | a late refusal                      |
      | a late refusal with a back-off      |
      | a late refusal with status 421      |
      | a late refusal for missing inputs   |
      | a late refusal without an id        |
      | a late answer with a limit          |
      | a late answer with status 500       |

  # Guards against results of one request's pieces that are given to another request: answers to
  # calls with pieces carry no id.
  Scenario: A late answer to an earlier call with pieces gives no results
    Given a stage server that repeats its last answer before each of its answers
    When pieces of r1, r2 and r3 are sent to it one after the other
    Then r1 and r3 have their own results, and r2 ends with code 3010 and may have run
    And they went over 2 connections
    And the repeated answer gave no notice

  # Guards against an answer that is read for the next call: a repeated answer would be recognised by
  # its results only.
  Scenario Outline: A connection carries no further pieces after an answer without results
    Given a stage server that answers with <answer>
    When pieces of r1 and r2 are sent to it one after the other
    Then they went over 2 connections

    Examples:
      | answer                  |
      | reasons only            |
      | a refusal               |
      | an error                |
      | a result too many       |
      | an answer without items |
      | an answer that is a list |

  Scenario: Calls with pieces share a connection while each answer has results
    Given a stage server that answers with results
    When pieces of r1 and r2 are sent to it one after the other
    Then they went over 1 connections

  Scenario: A connection for pieces is closed after 64 calls
    Given a stage server that answers with results
    When 65 calls with pieces are sent to it
    Then they went over 2 connections

  # Guards against what a server says of itself in an answer to something else.
  Scenario Outline: A late answer to an earlier call is not taken for what a server says of itself
    Given a server that repeats its answer to a request before its next answer
    When request r1 is sent to it, and <question>
    Then the server is said to <answer>

    Examples:
      | question                   | answer              |
      | its health is checked      | be cold for 1250 ms |
      | it is asked when it started | have started at 1700000000123 |

  Scenario: A late answer to an earlier call that gave up results gives no notice
    Given a server that repeats its answer to a call that gives up results, without its limit
    When results are given up there twice
    Then its limit is not taken for lifted
