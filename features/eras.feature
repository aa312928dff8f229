@forwarding
Feature: A store that comes back from an older copy
  # After an outage the platform's store may lack what it took in the last seconds. Versions go back
  # and are given out again. Operators and servers write again what they had written, we have to do
  # so with ours, and nothing that was known may be unlearnt meanwhile.
  Background:
    Given a forwarding fleet of instances a-1, a-2, b-1, b-2
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And a copy of the store is saved

  Scenario: A server that began to drain in the gap stays out of use
    When server desk-1 is listed as draining
    And 500 ms go by
    And the store is restored from the copy
    And 300 ms go by
    Then every instance knows servers desk-2
    When server desk-1 is listed as draining
    And 100 ms go by
    Then every instance knows servers desk-2

  Scenario: A server that left in the gap stays out of use, until it writes again
    When server desk-1 is removed from the list
    And 2500 ms go by
    And the store is restored from the copy
    And 300 ms go by
    Then every instance knows servers desk-2
    When server desk-1 is listed again
    And 100 ms go by
    Then every instance knows servers desk-1, desk-2

  Scenario: A server that started under the same id in the gap is used once it has written again
    When server desk-1 starts again
    And 500 ms go by
    And the store is restored from the copy
    And 300 ms go by
    And server desk-1 starts again
    And 100 ms go by
    Then every instance knows server desk-1 by its new start

  Scenario: A server that has started again while the store was away is believed
    When server desk-1 is listed as draining
    And 500 ms go by
    And the store is down
    And the store is restored from the copy
    And server desk-1 starts again
    And the store is up again
    And 1500 ms go by
    Then every instance knows server desk-1 by its new start

  Scenario: A new server stays in use, as it is expected to write again
    When server desk-3 is listed again
    And 500 ms go by
    And the store is restored from the copy
    And 1500 ms go by
    Then every instance knows servers desk-1, desk-2, desk-3
    When server desk-3 is listed again
    And 3000 ms go by
    Then every instance knows servers desk-1, desk-2, desk-3

  Scenario: A new server that does not write again is gone
    When server desk-3 is listed again
    And 500 ms go by
    And the store is restored from the copy
    And 2500 ms go by
    Then every instance knows servers desk-1, desk-2

  Scenario: Versions overtake the old position before anyone reads
    When 10 rows that name no server are written
    And 500 ms go by
    And the store is down
    And 100 ms go by
    And the store is restored from the copy
    And server desk-3 is listed again
    And 12 rows that name no server are written
    And the store is up again
    And 1500 ms go by
    Then every instance knows servers desk-1, desk-2, desk-3

  Scenario: Versions stay behind the old position for long
    When 50 rows that name no server are written
    And 500 ms go by
    And the store is restored from the copy
    And 300 ms go by
    And server desk-3 is listed again
    And 100 ms go by
    Then every instance knows servers desk-1, desk-2, desk-3
    When server desk-3 is removed from the list
    And 3500 ms go by
    Then every instance knows servers desk-1, desk-2

  Scenario: One instance has seen only what was before
    When server desk-1 is listed as draining
    And 500 ms go by
    And instance b-2 reaches neither the store nor the others
    And the store is restored from the copy
    And server desk-3 is listed again
    And 500 ms go by
    And instance b-2 reaches the others once more
    And 3000 ms go by
    Then every instance knows servers desk-2, desk-3

  Scenario: Twice within a second
    When server desk-1 is listed as draining
    And 300 ms go by
    And the store is restored from the copy
    And 300 ms go by
    And the store is restored from the copy
    And server desk-3 is listed again
    And 300 ms go by
    Then every instance knows servers desk-2, desk-3

  Scenario: The catalogue in force stays in force, also on an instance that starts then
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

  Scenario: Instances that made themselves known in the gap do so again, not all at once
    Given 30 further instances in data centre a
    When 1000 ms go by
    And the announcements of instances are watched
    And the store is restored from the copy
    And 2300 ms go by
    Then the store knows every instance
    And at most 8 instances made themselves known within any 100 ms
    And no instance did so more than once

  Scenario: Instances that were known long before do not
    When 61000 ms go by
    And a copy of the store is saved
    And the announcements of instances are watched
    And the store is restored from the copy
    And 2300 ms go by
    Then no instance made itself known again

  Scenario: Answers of the store tell the era
    Given a store over HTTP whose era is 3
    Then its rows are of era 3
    When it comes back older
    Then reading on from there is refused, and its rows are of era 4

  Scenario: A reading of several pages across the return begins anew
    Given a store over HTTP that comes back older between two pages
    Then the reading is refused, and the next one is of one era
