@virtual
Feature: Accepted configuration changes reach every instance and are never reverted
  An accepted change could be lost or reverted when operators write at the same time, when the
  store's answer to a write is lost or late, when an instance or data centre misses changes, or
  when an instance receives changes out of order or an older snapshot.

  Background:
    Given a fleet of instances a-1, a-2, b-1, b-2

  Scenario: A change is in force everywhere within 2 s
    When an operator labels "desk" with tier=gold
    And 2000 ms pass
    Then revision 2 is in force on a-1, a-2, b-1, b-2

  Scenario: One of two concurrent changes is accepted, the other is rejected
    When two operators make different changes against the same revision at once
    Then one change was accepted and the other got conflict 4001 naming revisions 1 and 2
    When 2000 ms pass
    Then revision 2 is in force on a-1, a-2, b-1, b-2

  Scenario: The store's answer to an accepted change is lost
    Given the platform all has faults {"lose_answers": 1}
    When an operator labels "desk" with tier=gold
    Then the change log holds 2 changes
    When 2000 ms pass
    Then revision 2 is in force on a-1, a-2, b-1, b-2

  Scenario: A change that the store commits late is recorded once
    Given the platform all has faults {"late_ms": 300}
    When an operator labels "desk" with tier=gold
    And 2000 ms pass
    Then the change log holds 2 changes
    And revision 2 is in force on a-1, a-2, b-1, b-2

  Scenario: A change that fails while the store is down has no effect
    Given the platform all has faults {"down": true}
    When an operator fails to label "desk" with tier=gold, code 5001
    And the platform all has faults {}
    And 2000 ms pass
    Then revision 1 is in force on a-1, a-2, b-1, b-2

  Scenario: An instance that starts while the store is down gets the newest revision from peers
    When an operator labels "desk" with tier=gold
    And 2000 ms pass
    And the platform all has faults {"down": true}
    And instance a-3 is started in a
    And 3000 ms pass
    Then revision 2 is in force on a-1, a-2, a-3, b-1, b-2
    And instance a-3 is ready
    When "a-3" is sent "reply" as "one"
    Then "one" ends as done

  Scenario: An instance without a configuration is not ready
    Given the platform all has faults {"down": true}
    And data centres a and c are cut off from each other
    And data centres b and c are cut off from each other
    When instance c-1 is started in c
    And 5000 ms pass
    Then instance c-1 is not ready
    When "c-1" is sent "reply" as "one"
    Then "one" ends as not_run 2004

  Scenario: A data centre that is cut off serves, reports its configuration's age and catches up
    Given the link b-1 has faults {"down": true}
    And the link b-2 has faults {"down": true}
    And data centres a and b are cut off from each other
    When an operator labels "desk" with tier=gold
    And 10000 ms pass
    Then revision 2 is in force on a-1, a-2
    And revision 1 is in force on b-1, b-2
    And the configuration of b-1 is at least 9000 ms old
    When "b-1" is sent "reply" as "one"
    Then "one" ends as done
    When data centres a and b reach each other again
    And 4000 ms pass
    Then revision 2 is in force on a-1, a-2, b-1, b-2

  Scenario: Another instance takes over when the one that reads the store crashes
    When instance a-1 is killed
    And 10000 ms pass
    And an operator labels "desk" with tier=gold
    And 4000 ms pass
    Then revision 2 is in force on a-2, b-1, b-2

  Scenario: Only the first instance of each data centre reads the store
    Then in 30000 ms the store is read at most 150 times for the configuration

  Scenario: A drained server gets no new work within 3 s
    When an operator drains small-1
    And 3000 ms pass
    And 20 requests are sent to "b-2" for "reply", one every 20 ms
    Then every one of them is done
    And "encode" never ran on small-1

  Scenario: A changed selector applies to the next dispatch
    When an operator sets the selector of team desk to "datacentre = b"
    And 2000 ms pass
    And 20 requests are sent to "a-1" for "reply", one every 20 ms
    Then every one of them is done
    And "encode" never ran on small-1
    And "generate" never ran on large-1

  Scenario: An instance that is 600 changes behind catches up by a snapshot
    Given the link b-1 has faults {"down": true}
    And the link b-2 has faults {"down": true}
    And data centres a and b are cut off from each other
    When an operator makes 600 changes
    And data centres a and b reach each other again
    And 4000 ms pass
    Then revision 601 is in force on a-1, a-2, b-1, b-2

  Scenario: An older snapshot from a peer is ignored
    When an operator makes 5 changes
    And 2000 ms pass
    And a peer sends a-1 a snapshot of revision 3
    Then revision 6 is in force on a-1, a-2, b-1, b-2

  Scenario: Mutation: a follower that adopts any snapshot falls back to an older revision
    Given the code is mutated so that a follower adopts any snapshot
    When an operator makes 5 changes
    And 2000 ms pass
    And a peer sends a-1 a snapshot of revision 3
    Then revision 3 is in force on a-1

  Scenario: A change that arrives before its predecessor is not applied
    Then a follower that receives change 3 before change 2 stays at revision 1

  Scenario: A new instance starts from a snapshot and the later changes
    When an operator makes 70 changes
    And instance a-4 is started in a
    And 1000 ms pass
    Then revision 71 is in force on a-4
