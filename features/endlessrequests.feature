@platform
Feature: Requests of callers that never end
  # Guards against an instance that reads for ever what one caller sends. Chunks and trailers were
  # read without a limit on the whole body and without a pause while bytes were there: one caller
  # stopped the instance. So did the rest of a body that had been refused.

  Scenario Outline: Bytes that come at once and never end
    Given an interface for <interface>
    When a caller sends <bytes> without end
    Then its connection ends within 8000 ms
    And other tasks never waited for it for more than 50 ms of processor time

    Examples: Callers
      | interface | bytes                  |
      | callers   | a request line         |
      | callers   | empty lines            |
      | callers   | a header line          |
      | callers   | header lines           |
      | callers   | chunks of 4 bytes      |
      | callers   | chunks of 64 KB        |
      | callers   | a chunk size           |
      | callers   | a chunk extension      |
      | callers   | trailer lines          |
      | callers   | a trailer line         |
      | callers   | a body of 4 GB         |
      | callers   | a body of 3 MB, and 1 GB behind it |

    Examples: Readiness checks, metrics and the operators' pages, which read no body
      | interface  | bytes                 |
      | monitoring | header lines          |
      | monitoring | chunks of 4 bytes     |
      | monitoring | chunks of 64 KB       |
      | monitoring | trailer lines         |
      | monitoring | a body of 4 GB        |

  Scenario Outline: Bytes that come slowly and never end
    # The limit is that of the whole body, the deadline of the request, and not that of each read.
    Given an interface for <interface>
    When a caller with a deadline of 300 ms sends <bytes> each 20 ms
    Then its connection ends within <ms> ms with status <status>

    Examples:
      | interface  | bytes                 | ms   | status |
      | callers    | chunks of 4 bytes     | 1800 | 408    |
      | callers    | trailer lines         | 1800 | 408    |
      | callers    | a body of 4 MB        | 1800 | 408    |
      | callers    | a header line         | 3500 | 408    |
      | monitoring | chunks of 4 bytes     | 1500 | 200    |
      | monitoring | a header line         | 3500 | 408    |

  Scenario Outline: Requests that are whole are served however they come
    Given an interface for callers
    When a caller sends a request with <body>, and then another one
    Then both are served

    Examples:
      | body                                   |
      | 4000000 bytes with a length            |
      | 4000000 bytes in chunks of 1000        |
      | 20000 bytes in chunks of 1             |
      | 5000 bytes each 50 ms, 10 times        |
      | chunks of 5000 bytes each 50 ms, 10 times |
      | a trailer behind the last chunk        |

  Scenario Outline: What is left of a body is not taken for the next request
    Given an interface for callers
    When a caller sends a request of which <part>, and another one in the rest of its body
    Then the other one is not served

    Examples:
      | part                                   |
      | the head is refused                    |
      | the body is refused as too long        |
      | the body stops until the deadline      |

  Scenario Outline: A deadline that is no usual number limits a body all the same
    Given an interface for callers
    When a caller with the deadline <deadline> sends a request with a body, in two parts
    Then it is answered with status <status>

    Examples:
      | deadline | status |
      | inf      | 200    |
      | nan      | 200    |
      | 1e300    | 200    |
      | -5       | 408    |
