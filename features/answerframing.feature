@platform
Feature: Where an answer of a backend server ends
  # Guards against a part of a body that is taken for a whole one: where the head of an answer was
  # malformed, the HTTP library read up to the end of the connection, while the answer counted as one
  # whose length is known.
  Scenario Outline: A body ends where the head of its answer says
    Given a backend server whose answers have the head "<head>"
    When a request gets the whole body, and another one a part of it
    Then the first gets <whole>, and the second <part>
    And an answer that was read <ends> with its connection

    Examples: a length
      | head                 | whole | part      | ends         |
      | length 5             | 12345 | code 3003 | does not end |
      | length 005           | 12345 | code 3003 | does not end |
      | length 5 in blanks   | 12345 | code 3003 | does not end |
      | HTTP/1.0, length 5   | 12345 | code 3003 | does not end |

    Examples: chunks
      | head                 | whole | part      | ends         |
      | chunks               | 12345 | code 3003 | does not end |
      | Chunks               | 12345 | code 3003 | does not end |

    Examples: neither
      | head                 | whole | part      | ends         |
      | nothing              | 12345 | 123       | ends         |
      | HTTP/1.0, nothing    | 12345 | 123       | ends         |

    Examples: a malformed or ambiguous length
      | head                 | whole     | part      | ends         |
      | length +5            | code 3004 | code 3004 | does not end |
      | length -5            | code 3004 | code 3004 | does not end |
      | length 0_5           | code 3004 | code 3004 | does not end |
      | length 5x            | code 3004 | code 3004 | does not end |
      | length 0x5           | code 3004 | code 3004 | does not end |
      | length 5.0           | code 3004 | code 3004 | does not end |
      | length ³             | code 3004 | code 3004 | does not end |
      | an empty length      | code 3004 | code 3004 | does not end |
      | a folded length      | code 3004 | code 3004 | does not end |
      | a length of 5000 digits | code 3004 | code 3004 | does not end |
      | length 5, 5          | code 3004 | code 3004 | does not end |
      | length 3, 5          | code 3003 | code 3003 | does not end |
      | length 5 twice       | code 3004 | code 3004 | does not end |
      | lengths 3 and 5      | code 3003 | code 3003 | does not end |

    Examples: a transfer coding that cannot be read, or is ambiguous
      | head                 | whole     | part      | ends         |
      | coding gzip          | code 3004 | code 3004 | does not end |
      | coding identity      | code 3004 | code 3004 | does not end |
      | coding xchunked      | code 3004 | code 3004 | does not end |
      | an empty coding      | code 3004 | code 3004 | does not end |
      | chunks, gzip         | code 3004 | code 3004 | does not end |
      | gzip, chunks         | code 3004 | code 3004 | does not end |
      | chunks, chunks       | code 3004 | code 3004 | does not end |
      | chunks twice         | code 3004 | code 3004 | does not end |
      | chunks and gzip      | code 3004 | code 3004 | does not end |
      | chunks and a blank   | code 3004 | code 3004 | does not end |
      | chunks and length 5  | code 3004 | code 3004 | does not end |
      | length 5 and gzip    | code 3004 | code 3004 | does not end |
      | HTTP/1.0, chunks     | code 3004 | code 3004 | does not end |

  # Guards against a request that waits for a body that does not come, or that fails for the lack of
  # it, where the answer has none by its status or its method.
  Scenario Outline: An answer that has no body ends with its head
    Given a backend server that keeps connections open, whose answers have the head "<head>"
    When two <method> requests are sent to it within 300 ms each
    Then both get no body, over 1 connection
    And an answer that was read does not end with its connection

    Examples:
      | method | head               |
      | HEAD   | nothing            |
      | HEAD   | length 5           |
      | HEAD   | length 5x          |
      | HEAD   | length 5 twice     |
      | HEAD   | chunks             |
      | HEAD   | chunks and length 5 |
      | POST   | 204, nothing       |
      | POST   | 204, length 0      |
      | POST   | 204, length 5      |
      | POST   | 204, chunks        |
      | POST   | 304, nothing       |
      | POST   | 304, length 5      |
      | POST   | 304, length 5x     |
      | POST   | 304, chunks        |

  # Guards against an empty answer: the HTTP library takes an interim response other than 100 for the
  # answer.
  Scenario Outline: An interim response is not the answer
    Given a backend server whose answers have the head "<head>"
    When a request gets the whole body, and another one a part of it
    Then the first gets code 3004, and the second code 3004

    Examples:
      | head          |
      | 101, nothing  |
      | 102, length 5 |
      | 103, nothing  |
