Feature: No input causes an unhandled error
  Scenario Outline: Any input is read or refused with a numbered error
    Then any <input> is read or refused with a numbered error

    Examples:
      | input              |
      | settings           |
      | documents          |
      | selector           |
      | peer message       |
      | stream of tokens   |
      | row of a change    |
      | row of a snapshot  |
      | row of a claim     |
      | row of cost        |
      | kept answer        |
      | issued key         |
      | faults             |
      | request of a caller |

  # The parser of plain heads must accept and refuse exactly what http.client's own parser does. A
  # head that only one of two parsers takes for two lets a request be smuggled past the other.
  Scenario: Any head is parsed as by the library
    Then any head has the headers, defects or error that the library's parser finds
    And so have heads at the limits of their length

  Scenario: A plain head is parsed without the library
    Then the head of a request is parsed without the library's parser
