Feature: Engines reach their wanted state again after every fault
  Background:
    Given 4 engines of data centre a that serve model old-model
    And model new-model with 2 replicas is wanted beside old-model with 2

  Scenario: The holder of the lease brings the engines to their wanted state
    When holders one, two step for 30000 ms
    Then 2 engines serve new-model and 2 serve old-model
    And only one of one, two sent orders
    And at most 2 downloads ran at once

  Scenario: A holder dies and another goes on
    When holders one, two step for 2000 ms
    And the holder dies and the other steps for 40000 ms
    Then 2 engines serve new-model and 2 serve old-model

  Scenario: A paused holder's order is refused by engines that check fencing
    When holders one, two step for 2000 ms
    And the holder is paused while the other steps for 40000 ms
    Then an order of the paused holder is refused with 8002
    And 2 engines serve new-model and 2 serve old-model

  Scenario: A paused holder's order to an engine that ignores fencing is mended
    Given the engines ignore fencing
    When holders one, two step for 2000 ms
    And the holder is paused while the other steps for 40000 ms
    And the paused holder orders every engine to serve nothing but junk
    And the other steps for 60000 ms
    Then 2 engines serve new-model and 2 serve old-model

  Scenario: The lease lapses for a holder that is cut off from the store
    When holders one, two step for 2000 ms
    And the holder is cut off from the store and steps for 6000 ms
    Then the holder sends no more orders

  Scenario: The last engine that serves a model keeps it
    Given only one engine serves old-model
    And old-model is wanted nowhere that it is served
    When holders one, two step for 1000 ms
    Then 1 engines serve old-model
    When holders one, two step for 40000 ms
    Then 2 engines serve old-model elsewhere

  Scenario: Two that race for a free lease do not both get it
    When holders one, two race for the lease with answers lost
    Then at most one of one, two holds it

  Scenario: A new version is loaded without losing the last replica
    When holders one, two step for 30000 ms
    And version 2 of new-model is wanted
    And holders one, two step for 30000 ms
    Then 2 engines serve version 2 of new-model

  Scenario: Orders and states over HTTP
    Given an engine over HTTP that serves old-model
    When it is ordered with fence 5 to serve new-model
    Then it serves new-model in the end
    And an order with fence 4 is refused with 8002
    When it is told to ignore fencing and ordered with fence 4 to serve old-model
    Then it serves old-model in the end
