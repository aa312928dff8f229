@forwarding
Feature: Backend servers that have just started
  # Guards against overloading a cold server. It is slow for some seconds, and crashes with all its
  # requests if it gets well over its rate in any second, over all instances. At a rate of 9 a second
  # the bound is 18 (half as much again, and five). Each of 30 instances sees only a few of the calls.
  Background:
    Given a fleet of 30 instances in data centres a, b, c whose cold servers take 9 requests a second
    And 4 servers of each of the services desk, llm, enc in data centres a, b, c

  Scenario Outline: A server restarts cold during a burst
    When server <name> restarts cold, <ms> ms before 400 <kind> requests a second for 3000 ms
    Then no cold server got more than 18 requests within a second
    And over 95 of 100 requests were answered

    Examples:
      | name   | kind   | ms  |
      | llm-1  | stream | 100 |
      | llm-1  | stream | 0   |
      | desk-1 | safe   | 100 |

  Scenario: A cold plain server gets no requests while other servers have capacity
    When server desk-1 restarts cold, 100 ms before 100 safe requests a second for 2000 ms
    Then server desk-1 got no request while it was cold

  Scenario Outline: All servers of a data centre restart cold at once
    When all <service> servers of data centre a restart cold, 100 ms before 200 <kind> requests a second for 2500 ms
    Then no cold server got more than 18 requests within a second
    And over 95 of 100 requests were answered

    Examples:
      | service | kind   |
      | llm     | stream |
      | desk    | safe   |

  Scenario Outline: All servers of a service are cold
    When all <service> servers restart cold, 100 ms before 200 <kind> requests a second for 2500 ms
    Then no cold server got more than 18 requests within a second
    And cold servers got over 5 requests a second each
    And every request that was not served was reported as not run

    Examples:
      | service | kind   |
      | llm     | stream |
      | desk    | safe   |

  Scenario: Instances that are cut off from the others send cold servers nothing
    Given 10 instances are cut off from all others, and each considers itself the coordinator
    When all llm servers restart cold, 100 ms before 200 stream requests a second for 2500 ms
    Then no cold server got more than 18 requests within a second
    And those 10 sent cold servers nothing

  Scenario: Two instances both consider themselves the placement coordinator
    Given the placement coordinator and half of the other instances cannot reach each other
    When all llm servers restart cold, 100 ms before 200 stream requests a second for 2500 ms
    Then no cold server got more than 18 requests within a second

  Scenario: An instance that has just started does not know the other instances yet
    When all llm servers restart cold, 100 ms before an instance starts that knows no others
    Then that instance sends them nothing in its first second

  Scenario: Each piece of a call counts as a request
    When all enc servers restart cold, 100 ms before 150 staged requests a second for 2500 ms
    Then no cold server got more than 18 requests within a second

  Scenario: Pieces of instances that are cut off are not run on cold servers
    Given 10 instances are cut off from all others, and each considers itself the coordinator
    When all enc servers restart cold, 100 ms before 60 staged requests a second for 2500 ms
    Then no cold server got more than 18 requests within a second

  Scenario: An instance that reaches most others, but no candidate ranked before it
    Given the fourth candidate for placement coordinator cannot reach the first three
    Then it considers itself the coordinator, and yet sends cold servers nothing

  Scenario: The number of clock reads per placement does not depend on the number of servers
    When 40 prompts are placed among 12 and then among 72 servers, some of them cold
    Then each placement read the clock at most 8 times

  Scenario: A cold server is avoided where a warm one answers sooner
    When server llm-1, which a prompt would go to, becomes cold
    Then the prompt goes to another server

  Scenario: A server is warm again after the time in its entry, also for instances that start later
    When server llm-1 restarts cold, 1500 ms before an instance starts while the store is down
    Then every instance considers llm-1 cold for 1200 to 1600 ms more

  Scenario: The servers of a data centre that is undrained are considered cold
    When data centre a is drained
    And 500 ms go by
    And data centre a is undrained
    And 50 ms go by
    Then every instance considers the llm servers of data centre a cold
    When 3000 ms go by
    Then no instance considers any server cold

  Scenario: A cold server whose entry is missing is still considered cold
    # Guards against forgetting that a server is cold when its entry is missing. After an outage of
    # the store, or in an older copy of it, an entry is written again within two seconds. The server
    # is used meanwhile, and got 28 requests within one of its first seconds.
    When server desk-1 restarts cold, and its entry is missing from 100 ms on
    And 400 safe requests a second follow for 800 ms
    Then no cold server got more than 18 requests within a second
    And every instance considers desk-1 cold for 1900 to 2000 ms more

  Scenario Outline: The coordinator asks the servers of an undrained data centre whether they are cold
    # Guards against leaving warm servers idle after a drain, and against sending a server that is
    # cold for longer than a start more than it tolerates.
    Given the llm servers of data centre a answer health checks with <answer> ms
    When data centre a is drained
    And 500 ms go by
    And data centre a is undrained
    And 50 ms go by
    Then each of them was asked once, by the placement coordinator alone
    And the placement coordinator considers them <now>
    When 3500 ms go by
    Then the placement coordinator considers them <later>

    Examples:
      | answer | now  | later |
      | 0      | warm | warm  |
      | 5000   | cold | cold  |
      | no     | cold | warm  |

  Scenario Outline: The time that a health answer states
    Then the cold time <text> of a health answer is read as <cold_ms>

    Examples:
      | text   | cold_ms |
      | absent | 0.0     |
      | 1250   | 1250.0  |
      | -3     | None    |
      | soon   | None    |
      | inf    | None    |
