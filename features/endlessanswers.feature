@platform
Feature: Answers of servers that never end
  # Guards against an instance that reads for ever what one faulty server sends. Interim responses,
  # trailers and slow heads were read without a limit on the whole call, and nothing that read from
  # a server let other tasks run while bytes were there: one such answer stopped the instance.

  Scenario Outline: Bytes that come at once and never end
    Given a backend server that sends <bytes> without end
    When a request with a limit of 20000 ms is sent to it
    Then it ends with code <code> within 5000 ms
    And other tasks never waited for it for more than 50 ms of processor time

    Examples:
      | bytes                                | code |
      | interim responses                    | 3003 |
      | header lines                         | 3003 |
      | a header line                        | 3003 |
      | a status line                        | 3003 |
      | trailer lines                        | 3003 |
      | a trailer line                       | 3003 |
      | a chunk size                         | 3003 |
      | chunks of 4 bytes within an event    | 3004 |

  Scenario: A body that comes at once and never ends
    Given a backend server that sends bytes of a body without a length without end
    When a request with a limit of 1000 ms is sent to it
    Then it ends with code 3011 within 2000 ms
    And other tasks never waited for it for more than 50 ms of processor time

  Scenario: The answer to a call with pieces that never ends
    # Guards against 32 MB that one such answer could take in memory.
    Given a backend server that sends bytes of a body without a length without end
    When a call with pieces and a limit of 20000 ms is sent to it
    Then it ends with code 3004 within 5000 ms
    And at most 2000 KB were held for it

  Scenario Outline: Bytes that come slowly and never end
    # The limit is that of the whole call, not that of each read.
    Given a backend server that sends <bytes> each 20 ms
    When a request with a limit of 300 ms is sent to it
    Then it ends with code 3011 within 800 ms

    Examples:
      | bytes                                |
      | interim responses                    |
      | 100 bytes of a header line           |
      | header lines                         |
      | trailer lines                        |
      | 4 bytes of an event                  |
      | bytes of a body without a length     |

  Scenario Outline: Answers that are whole are read however they come
    Given a backend server that sends a whole answer, <answer>
    When a request with a limit of 2000 ms is sent to it
    Then it ends with a body of <bytes> bytes

    Examples:
      | answer                                       | bytes   |
      | an interim response before the answer        | 5       |
      | three interim responses before the answer    | 5       |
      | a trailer behind the last chunk              | 5       |
      | 2000000 bytes with a length                  | 2000000 |
      | 2000000 bytes without a length               | 2000000 |
      | 2000000 bytes in chunks of 1000              | 2000000 |

  Scenario: Bytes of an event that never ends are looked at once each
    # Guards against a search of the whole incomplete event for each further chunk.
    Given an event of 500000 bytes that comes in pieces of 200 bytes
    When the stream is split into events
    Then the event is given out whole once it ends
    And each search began where the one before had ended

  # Guards against an instance that is stopped by what its platform sends.
  Scenario Outline: Answers of the platform's store that come at once and never end
    Given a store that sends <bytes> without end
    When it is read with a limit of <limit> ms
    Then that fails with code 5001 within <ms> ms
    And other tasks never waited for it for more than 50 ms of processor time

    Examples:
      | bytes                                | limit | ms   |
      | interim responses                    | 1000  | 1500 |
      | header lines                         | 1000  | 1500 |
      | trailer lines                        | 1000  | 1500 |
      | chunks of 4 bytes within an event    | 1000  | 1500 |
      | bytes of a body without a length     | 1000  | 1500 |
      | bytes of a body without a length     | 20000 | 5000 |

  Scenario Outline: Answers of the platform's store that come slowly and never end
    Given a store that sends <bytes> each 20 ms
    When it is read with a limit of 300 ms
    Then that fails with code 5001 within 800 ms

    Examples:
      | bytes                                |
      | interim responses                    |
      | header lines                         |
      | bytes of a body without a length     |

  Scenario Outline: Answers of the platform's store that are whole are read however they come
    Given a store that sends a whole answer, <answer>
    When it is read with a limit of 2000 ms
    Then <bytes> bytes are read

    Examples:
      | answer                               | bytes    |
      | three interim responses before the answer | 5   |
      | 8000000 bytes with a length          | 8000000  |
      | 8000000 bytes without a length       | 8000000  |
      | 2000000 bytes in chunks of 1000      | 2000000  |

  Scenario Outline: Answers of backend servers to the product's own interface that never end
    Given a server of a stage that sends <bytes> without end
    When the stage is called with a deadline of 1000 ms, <form>
    Then that fails with code <code> within 1500 ms
    And other tasks never waited for it for more than 50 ms of processor time

    Examples:
      | bytes                                | form       | code |
      | interim responses                    | for a result | 3011 |
      | trailer lines                        | for a result | 3011 |
      | chunks of 4 bytes within an event    | for a result | 3011 |
      | bytes of a body without a length     | for a result | 3003 |
      | chunks of 4 bytes within an event    | for tokens | 3004 |
      | bytes of a body without a length     | for tokens | 3004 |
