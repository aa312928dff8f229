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
