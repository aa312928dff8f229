Feature: Engines converge to their desired models after faults
  The holder of a data centre's lease orders its engines to load and unload models. An engine could
  be left with the wrong models when a holder crashes, is paused past its lease or loses the store,
  when an engine ignores fencing numbers, or when a model is unloaded from its last engine.

  Background:
    Given 4 engines of data centre a that serve model old-model
    And the configuration asks for 2 replicas of new-model and 2 of old-model

  Scenario: The lease holder brings the engines to their desired models
    When reconcilers one, two run for 30000 ms
    Then 2 engines serve new-model and 2 serve old-model
    And only one of one, two sent orders
    And at most 2 downloads ran at once

  Scenario: Another reconciler takes over when the lease holder crashes
    When reconcilers one, two run for 2000 ms
    And the lease holder crashes and the other runs for 40000 ms
    Then 2 engines serve new-model and 2 serve old-model

  Scenario: Engines that check fencing refuse the order of a paused lease holder
    When reconcilers one, two run for 2000 ms
    And the lease holder is paused while the other runs for 40000 ms
    Then an order of the paused lease holder is refused with 8002
    And 2 engines serve new-model and 2 serve old-model

  Scenario: An order of a paused lease holder to engines that ignore fencing is corrected
    Given the engines ignore fencing
    When reconcilers one, two run for 2000 ms
    And the lease holder is paused while the other runs for 40000 ms
    And the paused lease holder orders every engine to serve only junk
    And the other runs for 60000 ms
    Then 2 engines serve new-model and 2 serve old-model

  Scenario: A lease holder without a link to the store loses the lease and stops sending orders
    When reconcilers one, two run for 2000 ms
    And the lease holder is cut off from the store and runs for 6000 ms
    Then the former lease holder sends no more orders

  Scenario: A model is not unloaded from its last engine
    Given only one engine serves old-model
    And the selector of old-model excludes that engine
    When reconcilers one, two run for 1000 ms
    Then 1 engines serve old-model
    When reconcilers one, two run for 40000 ms
    Then 2 other engines serve old-model

  Scenario: Two reconcilers that race for a free lease do not both get it
    When reconcilers one, two race for the lease and lose the store's answers
    Then at most one of one, two holds the lease

  Scenario: A new version is loaded without losing the last replica
    When reconcilers one, two run for 30000 ms
    And the configuration asks for version 2 of new-model
    And reconcilers one, two run for 30000 ms
    Then 2 engines serve version 2 of new-model

  Scenario: Orders and engine states over HTTP
    Given an engine over HTTP that serves old-model
    When it is ordered with fence 5 to serve new-model
    Then it eventually serves new-model
    And an order with fence 4 is refused with 8002
    When it is set to ignore fencing and ordered with fence 4 to serve old-model
    Then it eventually serves old-model
