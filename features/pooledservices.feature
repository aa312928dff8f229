@forwarding
Feature: Servers that take the pieces of stages and the requests of routes
  # Guards against a limit that two coordinators each use up: one for a service's pieces, one for its
  # requests. Servers that announced 5 requests a second got 42 in 4 s, where 35 are allowed.
  Background:
    Given a fleet of 8 instances in data centres a, b, c
    And 2 servers of each of the services desk, llm, enc in data centres a, b, c
    And requests of a route go to service enc as well

  Scenario Outline: All servers announce a limit
    When all enc servers announce a limit of <per_s> requests a second, and <pieces> staged and <direct> direct requests a second come for 9000 ms
    Then no server got more than its limit allows
    And over <used> of 100 of the requests that the limits allow were sent

    Examples: One kind of work has requests, or both have
      | per_s | pieces | direct | used |
      | 5     | 60     | 0      | 80   |
      | 5     | 0      | 60     | 85   |
      | 5     | 60     | 60     | 85   |
      | 2     | 60     | 60     | 85   |
      | 1     | 30     | 60     | 80   |
      | 5     | 60     | 5      | 80   |
      | 5     | 3      | 60     | 85   |

  Scenario Outline: Both kinds of work get a part of a limit
    When all enc servers announce a limit of 5 requests a second, and <pieces> staged and <direct> direct requests a second come for 9000 ms
    Then calls with pieces and other requests each had over <percent> of 100 of what was sent

    Examples:
      | pieces | direct | percent |
      | 60     | 60     | 20      |
      | 30     | 90     | 15      |

  Scenario Outline: Instances start, restart, crash or are cut off while all servers announce a limit
    When all enc servers announce a limit of 5 requests a second, and 60 staged and 60 direct requests a second come for 9000 ms while <what>
    Then no server got more than its limit allows
    And over <used> of 100 of the requests that the limits allow were sent

    Examples:
      | what                                             | used |
      | the service's coordinator is restarted           | 60   |
      | the service's coordinator crashes                | 60   |
      | three instances are cut off from the others      | 60   |
      | two of the others lose the service's coordinator | 60   |
      | two more instances start                         | 60   |
      | a data centre is cut off from the others         | 60   |
      | all instances are restarted at once              | 30   |
      | the service's coordinator is cut off for a while | 50   |

  Scenario: A large fleet, and so many servers that a service of pieces alone is divided
    Given 12 more instances
    And 2 more enc servers in each data centre
    When all enc servers announce a limit of 3 requests a second, and 60 staged and 60 direct requests a second come for 9000 ms
    Then no server got more than its limit allows
    And over 80 of 100 of the requests that the limits allow were sent

  # Guards against two instances that each send the first requests of a kind of work.
  Scenario: Requests come for the first time while the limit is used for pieces
    When all enc servers announce a limit of 5 requests a second, and 60 staged requests a second come for 9000 ms, 60 direct ones as well after a while
    Then no server got more than its limit allows
    And over 80 of 100 of the requests that the limits allow were sent

  # Guards against servers that crash when they start: the rate of a cold server holds for both, and
  # it tolerates half as much again.
  Scenario: Cold servers get pieces and requests
    When all enc servers are cold for 8000 ms at 5 requests a second, and 60 staged and 60 direct requests a second come for 6000 ms
    Then no cold server got more than 7 pieces and requests in a second

  # Guards against servers that crash when they reject many requests: room holds for both.
  Scenario: Fragile servers get pieces and requests
    When all enc servers allow 2 rejections a second, and 60 staged and 60 direct requests a second come for 6000 ms
    Then the enc servers crashed at most 2 times after 3000 ms
