Feature: Routing policies keep their attainment under load
  Scenario Outline: Expected completion against least outstanding on small fixed workloads
    When the workload "<workload>" runs with seed 0 under both policies
    Then expected completion attains at least <least> of the requests
    And at least <others> of those of teams that do not flood, and no less than least outstanding

    Examples:
      | workload                 | least | others |
      | harrowgate steady        | 0.98  | 0.98   |
      | harrowgate burst 3       | 0.55  | 0.55   |
      | harrowgate one slowed    | 0.96  | 0.96   |
      | harrowgate flooding team | 0.85  | 0.95   |
      | brindlecote burst 1.5    | 0.88  | 0.88   |

  Scenario: Thrift lowers the cost and costs little attainment
    When the workload "brindlecote steady" runs with seed 0 with and without thrift
    Then a complete answer costs at most 0.96 of its cost without thrift and attainment is at least 0.97
