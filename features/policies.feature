Feature: Decisions under load keep their worth
  Scenario Outline: Expected completion against least outstanding at a small fixed size
    When the workload "<workload>" runs with seed 0 under both policies
    Then expected completion reaches at least <least> of the requests
    And at least <others> of those of teams that do not flood, and no less than the other

    Examples:
      | workload                 | least | others |
      | harrowgate steady        | 0.98  | 0.98   |
      | harrowgate burst 3       | 0.55  | 0.55   |
      | harrowgate one slowed    | 0.96  | 0.96   |
      | harrowgate flooding team | 0.85  | 0.95   |
      | brindlecote burst 1.5    | 0.88  | 0.88   |

  Scenario: Saving cost costs little attainment
    When the workload "brindlecote steady" runs with seed 0 with and without thrift
    Then a whole answer costs at most 0.96 of what it costs without and attainment is at least 0.97
