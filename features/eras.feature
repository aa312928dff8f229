@forwarding
Feature: A store that is restored from an older copy
  # After an outage the platform's store may lack the writes of the last seconds. Versions go back
  # and are assigned again. Operators and servers repeat their lost writes, and instances have to
  # repeat theirs. Meanwhile no instance may forget what it knew.
  Background:
    Given a forwarding fleet of instances a-1, a-2, b-1, b-2
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And a copy of the store is saved

  Scenario: A server whose draining was lost stays out of use
    When server desk-1 is listed as draining
    And 500 ms go by
    And the store is restored from the copy
    And 300 ms go by
    Then every instance knows servers desk-2
    When server desk-1 is listed as draining
    And 100 ms go by
    Then every instance knows servers desk-2

  Scenario: A server whose removal was lost stays out of use until it is listed again
    When server desk-1 is removed from the list
    And 2500 ms go by
    And the store is restored from the copy
    And 300 ms go by
    Then every instance knows servers desk-2
    When server desk-1 is listed again
    And 100 ms go by
    Then every instance knows servers desk-1, desk-2

  Scenario: A server whose restart was lost is used once it has written its entry again
    When server desk-1 restarts
    And 500 ms go by
    And the store is restored from the copy
    And 300 ms go by
    And server desk-1 restarts
    And 100 ms go by
    Then every instance knows server desk-1 with its new start time

  Scenario: A server that restarts during the outage is used with its new start time
    When server desk-1 is listed as draining
    And 500 ms go by
    And the store is down
    And the store is restored from the copy
    And server desk-1 restarts
    And the store is up again
    And 1500 ms go by
    Then every instance knows server desk-1 with its new start time

  Scenario: A server whose first entry was lost stays in use, as it is expected to write again
    When server desk-3 is listed again
    And 500 ms go by
    And the store is restored from the copy
    And 1500 ms go by
    Then every instance knows servers desk-1, desk-2, desk-3
    When server desk-3 is listed again
    And 3000 ms go by
    Then every instance knows servers desk-1, desk-2, desk-3

  Scenario: A server whose first entry was lost and that does not write again is removed
    When server desk-3 is listed again
    And 500 ms go by
    And the store is restored from the copy
    And 2500 ms go by
    Then every instance knows servers desk-1, desk-2

  Scenario: Versions pass the old position before any instance reads
    When 10 unreadable rows are written to the list
    And 500 ms go by
    And the store is down
    And 100 ms go by
    And the store is restored from the copy
    And server desk-3 is listed again
    And 12 unreadable rows are written to the list
    And the store is up again
    And 1500 ms go by
    Then every instance knows servers desk-1, desk-2, desk-3

  Scenario: Versions stay below the old position for a long time
    When 50 unreadable rows are written to the list
    And 500 ms go by
    And the store is restored from the copy
    And 300 ms go by
    And server desk-3 is listed again
    And 100 ms go by
    Then every instance knows servers desk-1, desk-2, desk-3
    When server desk-3 is removed from the list
    And 3500 ms go by
    Then every instance knows servers desk-1, desk-2

  Scenario: An instance that was cut off during the restore knows only the state before it
    When server desk-1 is listed as draining
    And 500 ms go by
    And instance b-2 reaches neither the store nor its peers
    And the store is restored from the copy
    And server desk-3 is listed again
    And 500 ms go by
    And instance b-2 reaches its peers again
    And 3000 ms go by
    Then every instance knows servers desk-2, desk-3

  Scenario: The store is restored twice within a second
    When server desk-1 is listed as draining
    And 300 ms go by
    And the store is restored from the copy
    And 300 ms go by
    And the store is restored from the copy
    And server desk-3 is listed again
    And 300 ms go by
    Then every instance knows servers desk-2, desk-3

  Scenario: The catalogue in force stays in force, also on an instance that starts after the restore
    When catalogue version 5 is written
    And 500 ms go by
    And the store is restored from the copy
    And 300 ms go by
    And instance b-3 starts
    And 100 ms go by
    Then every instance has catalogue version 5
    When catalogue version 6 is written
    And 100 ms go by
    Then every instance has catalogue version 6

  Scenario: Instances whose announcements were lost repeat them, not all at once
    Given 30 further instances in data centre a
    When 1000 ms go by
    And announcements of instances are recorded
    And the store is restored from the copy
    And 2300 ms go by
    Then the store lists every instance
    And at most 8 instances are announced within any 100 ms
    And no instance is announced more than once

  Scenario: Instances whose announcements are in the older copy do not repeat them
    When 61000 ms go by
    And a copy of the store is saved
    And announcements of instances are recorded
    And the store is restored from the copy
    And 2300 ms go by
    Then no instance is announced again

  Scenario: The era of rows is read from the store's answers
    Given a store over HTTP whose era is 3
    Then its rows are of era 3
    When the store over HTTP is restored from an older copy
    Then changes since that position are refused, and its rows are of era 4

  Scenario: A read of several pages during which the store is restored starts again
    Given a store over HTTP that is restored between two pages of a read
    Then the read is refused, and the next one returns rows of one era
