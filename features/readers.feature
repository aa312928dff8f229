@forwarding
Feature: Which instances follow the store for the others
  Background:
    Given a forwarding fleet of instances a-1, a-2, b-1, b-2
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And 1000 ms have gone by

  Scenario: One instance of a small fleet follows the store, and all get what it reads
    Then 1 instance follows the store
    When catalogue version 2 is written
    And server desk-1 is listed as draining
    And 60 ms go by
    Then every instance has catalogue version 2
    And every instance knows servers desk-2

  Scenario: In a larger fleet one instance of each data centre follows the store
    Given further instances a-3, a-4, a-5, a-6, b-3, b-4, b-5, b-6, b-7, b-8
    And 1500 ms have gone by
    Then 2 instances follow the store
    When catalogue version 2 is written
    And 60 ms go by
    Then every instance has catalogue version 2

  Scenario Outline: Another instance takes over before a draining server must be out of use
    Given the instance that follows the store <trouble>
    When catalogue version 2 is written
    And server desk-1 is listed as draining
    And 1400 ms go by
    Then every reachable instance has catalogue version 2
    And every reachable instance knows servers desk-2

    Examples:
      | trouble                               |
      | is refused by it                      |
      | has a feed that is no longer answered |
      | has crashed                           |
      | is cut off from its peers             |

  Scenario: The mutation in which no other instance takes over is detected
    Given the code is mutated so that no instance takes over
    And the instance that follows the store has a feed that is no longer answered
    When catalogue version 2 is written
    And 1400 ms go by
    Then some reachable instance has catalogue version 1

  Scenario: An instance that reaches the store but no peer follows the store itself
    Given instance b-2 is cut off from its peers
    When 1500 ms go by
    And catalogue version 2 is written
    And 100 ms go by
    Then every instance has catalogue version 2

  Scenario: The first-ranked instance takes over again once the store answers it
    Given the instance that follows the store is refused by it
    When 3000 ms go by
    Then 2 instances follow the store
    When the store answers that instance again
    And 2500 ms go by
    Then 1 instance follows the store

  Scenario: While the store is down, few instances call it
    Given 24 further instances in data centre a
    And 1500 ms have gone by
    And the store is down
    When 2500 ms go by
    Then at most 12 instances follow the store

  Scenario: An instance that shuts down hands over at once
    Given the instance that follows the store is asked to shut down
    When 100 ms go by
    Then 1 instance follows the store
    When 200 ms go by
    Then 1 instance follows the store
    When catalogue version 2 is written
    And 60 ms go by
    Then every reachable instance has catalogue version 2

  Scenario: Instances with many processor cores become coordinators
    Given instance c-1 has 4 cores
    And further instances c-1
    And 1500 ms have gone by
    Then the coordinator of pieces and prompts of services x, y, z, u, v and of the store is c-1
