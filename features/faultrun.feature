Feature: The promises hold under faults that come at random, together and twice
  Scenario Outline: Seeded faults over two data centres of three instances
    When faults with seeds <first> to <last> are brought about under load
    Then no promise is broken
    And requests were answered, refused and cut off by the death of instances

    Examples:
      | first | last |
      | 0     | 4    |
      | 5     | 9    |
      | 10    | 14   |
      | 15    | 19   |

  Scenario: One seed gives the same run every time
    When faults with seed 3 are brought about twice
    Then both runs have the same calls and outcomes

  Scenario Outline: A fault of our own put in on purpose is found
    When the product is changed so that it <mutation>
    Then the broken promise is "<promise>"

    Examples:
      | mutation                                   | promise                          |
      | hands out the answer of another request    | answers reach their own caller   |
      | takes a stream that was cut for whole      | answers are whole                |
      | forgets what it dispatched                 | not run means not run            |
      | runs keys without a claim                  | non-idempotent runs at most once |
      | repeats non-idempotent stages              | non-idempotent runs at most once |
      | ignores selectors                          | selectors are met                |
      | serves before it knows the newest revision | revisions never fall             |
      | takes every conflict for its own change    | accepted changes are kept        |
      | waits for a push without a deadline        | answers come in time             |
      | never asks peers for changes               | changes reach every instance     |
