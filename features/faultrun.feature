Feature: The invariants hold under random faults
  Faults of backend servers, instances, links and the store are drawn from a seed; they overlap and
  repeat while requests are sent. A mutation that breaks an invariant must be detected, since a
  check that detects nothing would pass as well.

  Scenario Outline: Seeded faults over two data centres of three instances
    When faults from seeds <first> to <last> are injected under load
    Then no invariant is violated
    And requests were answered, refused and interrupted by crashes of instances

    Examples:
      | first | last |
      | 0     | 4    |
      | 5     | 9    |
      | 10    | 14   |
      | 15    | 19   |

  Scenario: The same seed gives the same run
    When faults from seed 3 are injected twice
    Then both runs have the same calls and outcomes

  Scenario Outline: A mutation of the code is detected
    When the code is mutated so that it <mutation>
    Then the violated invariant is "<invariant>"

    Examples:
      | mutation                                   | invariant                        |
      | returns the answer of another request      | answers reach their own caller   |
      | treats a stream that was cut as complete   | answers are whole                |
      | does not record what it dispatched         | not run means not run            |
      | runs requests with keys without a claim    | non-idempotent runs at most once |
      | repeats non-idempotent stages              | non-idempotent runs at most once |
      | ignores selectors                          | selectors are met                |
      | is ready before it has the newest revision | revisions never fall             |
      | treats every conflict as its own change    | accepted changes are kept        |
      | waits for a push without a deadline        | answers come in time             |
      | does not request changes from peers        | changes reach every instance     |
