@forwarding
Feature: Backend servers that crash if they reject many requests
  # Guards against crashing servers that announce how many requests they can reject in a second.
  # Instances went on sending such servers requests that they had no room for, each on its own, and
  # tried the next server after every rejection.
  Background:
    Given a fleet of 8 instances in data centres a, b, c
    And 2 servers of each of the services desk, llm, enc in data centres a, b, c

  Scenario Outline: More requests come than the servers of a service have room for
    Given the <service> servers can reject <rejections> requests a second, take <ms> ms and have room for <before> requests
    When <rate> <kind> requests a second come for 14000 ms, and after 3000 ms they have room for <after>
    Then the <service> servers crashed at most 2 times after 3000 ms
    And over <served> of 100 requests were answered

    Examples:
      | service | rejections | ms   | before | after | rate | kind   | served |
      | desk    | 5          | 1000 | 12     | 8     | 64   | safe   | 60     |
      | desk    | 2          | 1000 | 12     | 8     | 64   | unsafe | 60     |
      | llm     | 3          | 1000 | 12     | 8     | 64   | stream | 60     |
      | llm     | 3          | 1000 | 12     | 6     | 64   | stream | 40     |

  Scenario Outline: Overdue calls with pieces do not overfill the servers of a stage service
    Given the enc servers can reject 3 requests a second, take 0 ms and have room for 3 requests
    And <slow> of the enc servers turn slow after 3000 ms
    When <rate> staged requests a second come for 14000 ms, and after 3000 ms they have room for 1
    Then the enc servers crashed at most 2 times after 3000 ms

    Examples:
      | slow | rate |
      | 3    | 30   |
      | 6    | 30   |
      | 6    | 60   |

  Scenario: Instances that are cut off from the coordinator use a fraction of the room
    Given the desk servers can reject 5 requests a second, take 1000 ms and have room for 12 requests
    When 64 safe requests a second come for 14000 ms, and after 3000 ms they have room for 8, while three instances are cut off from the others
    Then the desk servers crashed at most 2 times after 5000 ms

  Scenario: Servers that no longer announce it are used as before
    Given the desk servers can reject 5 requests a second, take 100 ms and have room for 12 requests
    When 40 safe requests a second come for 2000 ms, and then no server is fragile for 6000 ms
    Then no instance considers a desk server fragile
