Feature: Faults in documents and settings are reported with numbered errors
  Scenario Outline: Documents that cannot be read
    When the documents <text> are read
    Then the faults are <codes> and name <word>

    Examples:
      | text                                                         | codes     | word            |
      | [[team]                                                      | 4002      | not TOML        |
      | [[crew]]                                                     | 4002      | expected [[kind]] |
      | [[model]] name = 7                                           | 4002      | a string        |
      | [[model]] name = "a b"                                       | 4002      | letters         |
      | [[model]] name = "m" ; colour = "red"                        | 4002      | no such key     |
      | [[model]] name = "m" ; [[model]] name = "m"                  | 4002      | is defined twice |
      | [[team]] name = "t" ; token_sha256 = "xyz"                   | 4002      | 64 hexadecimal  |
      | [[team]] name = "t" ; token_sha256 = "xyz" ; share = -1      | 4002 4002 | at least        |
      | [[server]] name = "s" ; address = "x" ; datacentre = "a" ; slots = 0 | 4002 | at least 1     |
      | [[server]] name = "s" ; address = "x" ; datacentre = "a" ; draining = 1 | 4002 | true or false |
      | [[pipeline]] name = "p"                                      | 4002      | 1 to 16 stages  |
      | [[pipeline]] name = "p" ; [[pipeline.stage]] name = "s" ; work = "bake" | 4002 | one of encode |
      | [[pipeline]] name = "p" ; [[pipeline.stage]] name = "s" ; work = "call" ; after = ["t"] | 4002 | an earlier stage |

  Scenario Outline: Documents that can be read but fail the check
    When the documents <text> are checked
    Then the faults are <codes> and name <word>

    Examples:
      | text                                                         | codes | word                |
      | [[pipeline]] name = "p" ; [[pipeline.stage]] name = "s" ; work = "encode" ; model = "m" | 4003 | no model |
      | [[pipeline]] name = "p" ; [[pipeline.stage]] name = "s" ; work = "call" ; selector = "a ~ b" | 4004 | a condition |
      | [[selector]] name = "x" ; match = "a in (b"                  | 4004  | a condition         |
      | [[pipeline]] name = "p" ; [[pipeline.stage]] name = "s" ; work = "encode" | 4002 | expected a model |

  Scenario Outline: Which labels meet a selector
    Then the selector "<text>" is <verb> by the labels <labels>

    Examples:
      | text                      | verb           | labels    |
      | (empty)                   | met            | a=1       |
      | a = 1                     | met            | a=1       |
      | a = 1                     | not met        | a=2       |
      | a != 1                    | met            | b=1       |
      | a != 1                    | not met        | a=1       |
      | a in (1, 2)               | met            | a=2       |
      | a in (1, 2)               | not met        | b=1       |
      | a notin (1, 2)            | met            | a=3       |
      | a not in (1, 2)           | not met        | a=1       |
      | a                         | met            | a=3       |
      | !a                        | not met        | a=3       |
      | !a                        | met            | b=3       |
      | a in (1, 2), b != 4, !c   | met            | a=1,b=3   |
      | a in (1, 2), b != 4, !c   | not met        | a=1,c=3   |

  Scenario: A selector that no server meets is a warning
    When the example "brindlecote.toml" is checked with a team selector that no server meets
    Then the warnings are all 4005

  Scenario Outline: The shipped examples have no fault and no warning
    When the example "<name>" is checked
    Then there is no fault and no warning
    And it holds <servers> backend servers and <teams> teams

    Examples:
      | name             | servers | teams |
      | harrowgate.toml  | 31      | 5     |
      | brindlecote.toml | 27      | 5     |

  Scenario: Every fault in the settings is named at once
    When settings with six faults are read
    Then the faults are 7001 7001 7001 7001 7001 7001 and name no such key

  Scenario: Every fault in the settings of a forwarding instance is named at once
    When forwarding settings with a missing, a wrong and an unknown key are read
    Then the faults are 7001 7001 7001 and name colour

  Scenario: The docs list every code, metric and setting, and no other
    Then docs/RESULT-CODES.md lists each code with its class, status and meaning
    And docs/METRICS.md lists each metric with its type
    And docs/SETTINGS.md lists each setting
    And the template of the platform's settings names each of them once
