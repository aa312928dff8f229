@forwarding
Feature: Retries of all instances together stay within the budget of a service
  # Guards against instances that make more retries within one window than the operator allows for
  # all of them, because counts of earlier retries are lost or the reserve is divided by too few.
  Background:
    Given a fleet of 6 instances in data centres a, b, c
    And 2 servers of each of the services desk, llm, enc in data centres a, b, c
    And arrivals at servers are recorded

  Scenario Outline: Retries are limited at <rate> <kind> requests a second while <what>
    Given all servers refuse half of all requests
    When <rate> <kind> requests a second come for 16000 ms while <what>
    Then no service gets more than 0.2 retries for each request and 20 more in any 10000 ms

    Examples:
      | kind      | rate | what                                                    |
      | safe      | 60   | nothing else happens                                    |
      | resumable | 60   | nothing else happens                                    |
      | safe      | 60   | a data centre is cut off from the others                |
      | safe      | 20   | all instances are cut off from each other, twice        |
      | safe      | 60   | the callers of half of the instances turn to the others |

  Scenario Outline: Reloads do not renew the budget at <rate> <kind> requests a second
    Given all servers refuse half of all requests
    When <rate> <kind> requests a second come for 16000 ms while all instances reload their settings, twice
    Then no service gets more than 0.2 retries for each request and 20 more in any 10000 ms

    Examples:
      | kind      | rate |
      | safe      | 60   |
      | resumable | 60   |
      | safe      | 12   |

  Scenario: Reloaded limits hold for requests that come later
    Given all servers refuse half of all requests
    When 20 safe requests a second come for 3000 ms while nothing else happens
    And all instances reload settings that allow no retries, and 20 safe requests a second come for 3000 ms
    Then the latter were not retried

  Scenario Outline: Restarts do not renew the budget: <rate> <kind> requests a second while <what>
    Given all servers refuse half of all requests
    When <rate> <kind> requests a second come for 16000 ms while <what>
    Then no service gets more than 0.2 retries for each request and 20 more in any 10000 ms

    Examples:
      | kind      | rate | what                                                |
      | safe      | 60   | all instances are restarted at once                 |
      | resumable | 60   | all instances are restarted at once                 |
      | safe      | 60   | all instances are restarted at once, three times    |
      | safe      | 12   | all instances are restarted at once, three times    |
      | safe      | 60   | instances are restarted one after the other         |
      | resumable | 20   | instances are restarted one after the other         |
      | safe      | 12   | two thirds of the instances restart without a store |

  Scenario: A process that has just started retries only what its requests have earned
    Given the instances have received requests before
    When all instances are killed and start again
    Then each allows 0 retries, and 1 retry after 5 more requests
    And 10900 ms after its start each allows 0 retries
    And 11100 ms after its start each allows 2 retries

  Scenario Outline: The reserve is not divided by too few: <rate> <kind> requests a second while <what>
    Given all servers refuse half of all requests
    When <rate> <kind> requests a second come for 16000 ms while <what>
    Then no service gets more than 0.2 retries for each request and 20 more in any 10000 ms

    Examples:
      | kind | rate | what                                                    |
      | safe | 12   | the restored store has lost three unreachable instances |
      | safe | 20   | the restored store has lost three unreachable instances |

  Scenario: The reserve is not divided by too few: 24 instances restart without a store
    Given a fleet of 24 instances in data centres a, b, c
    And all servers refuse half of all requests
    When 24 safe requests a second come for 30000 ms while all but one restart without a store, and reach only that one
    Then no service gets more than 0.2 retries for each request and 20 more in any 10000 ms

  Scenario Outline: Requests that are relayed again take from the budget: <rate> safe ones a second
    Given the answers to relayed requests are lost
    When 3 instances with the coordinator of prompts of llm lose all servers, whose connections <how>, and <rate> safe requests a second come for 12000 ms
    Then no service gets more than 0.2 retries for each request and 20 more in any 10000 ms

    Examples:
      | rate | how       |
      | 40   | hang      |
      | 12   | are reset |

  Scenario: A request that is relayed after it failed here earns retries at one instance only
    Given an instance that is cut off from all servers and has not noticed it yet
    When a safe request to it is relayed to another instance
    Then the two instances have saved 0.2 retries more in all
