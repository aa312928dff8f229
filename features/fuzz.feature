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

  # Guards against a part of a server's body that looks whole to a caller, however the body is framed
  # and the connection ends. More seeds by hand: features/run.py -D seeds=1000 -D first=1
  # features/fuzz.feature
  Scenario Outline: Whatever the end of a server's answer, what looks whole to a caller is whole
    Given an instance on loopback whose servers' answers end as drawn
    When callers send it <requests> of <number> seeds
    Then each gets the whole body, or sees that it is incomplete, or is told nothing of its length

    Examples:
      | requests       | number |
      | plain requests | 60     |
      | streams        | 60     |
