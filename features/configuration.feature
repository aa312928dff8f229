@virtual
Feature: An accepted change is in force everywhere and never reverts
  Background:
    Given a fleet of instances a-1, a-2, b-1, b-2

  Scenario: A change is in force everywhere within 2 s
    When an operator labels "desk" with tier=gold
    And 2000 ms pass
    Then revision 2 is in force on a-1, a-2, b-1, b-2

  Scenario: Two operators race and one of them wins whole
    When two operators make different changes against the same revision at once
    Then one change was accepted and the other got conflict 4001 naming revisions 1 and 2
    When 2000 ms pass
    Then revision 2 is in force on a-1, a-2, b-1, b-2

  Scenario: The answer to an accepted change is lost
    Given the platform all has faults {"lose_answers": 1}
    When an operator labels "desk" with tier=gold
    Then the history holds 2 changes
    When 2000 ms pass
    Then revision 2 is in force on a-1, a-2, b-1, b-2

  Scenario: A change that is still on its way cannot take effect behind its author's back
    Given the platform all has faults {"late_ms": 300}
    When an operator labels "desk" with tier=gold
    And 2000 ms pass
    Then the history holds 2 changes
    And revision 2 is in force on a-1, a-2, b-1, b-2

  Scenario: The store is down and nothing is half accepted
    Given the platform all has faults {"down": true}
    When an operator fails with 5001 to label "desk" with tier=gold
    And the platform all has faults {}
    And 2000 ms pass
    Then revision 1 is in force on a-1, a-2, b-1, b-2

  Scenario: An instance that starts while the store is down gets the newest from its peers
    When an operator labels "desk" with tier=gold
    And 2000 ms pass
    And the platform all has faults {"down": true}
    And instance a-3 is started in a
    And 3000 ms pass
    Then revision 2 is in force on a-1, a-2, a-3, b-1, b-2
    And instance a-3 is ready
    When "a-3" is sent "reply" as "one"
    Then "one" ends as done

  Scenario: An instance that knows of no revision is not ready
    Given the platform all has faults {"down": true}
    And data centres a and c are cut off from each other
    And data centres b and c are cut off from each other
    When instance c-1 is started in c
    And 5000 ms pass
    Then instance c-1 is not ready
    When "c-1" is sent "reply" as "one"
    Then "one" ends as not_run 2004

  Scenario: A data centre that is cut off goes on, tells the age, and catches up
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

  Scenario: The instance that reads the store dies and another takes its place
    When instance a-1 is killed
    And 10000 ms pass
    And an operator labels "desk" with tier=gold
    And 4000 ms pass
    Then revision 2 is in force on a-2, b-1, b-2

  Scenario: Only the first instance of a data centre reads the store
    Then in 30000 ms the store is read at most 150 times for the configuration

  Scenario: A drained server gets no new work within 3 s
    When an operator drains small-1
    And 3000 ms pass
    And 20 requests are sent to "b-2" for "reply", one every 20 ms
    Then every one of them is done
    And "encode" never ran on small-1

  Scenario: A selector that changes holds for the next dispatch
    When an operator sets the selector of team desk to "datacentre = b"
    And 2000 ms pass
    And 20 requests are sent to "a-1" for "reply", one every 20 ms
    Then every one of them is done
    And "encode" never ran on small-1
    And "generate" never ran on large-1

  Scenario: A far older instance catches up by a snapshot
    Given the link b-1 has faults {"down": true}
    And the link b-2 has faults {"down": true}
    And data centres a and b are cut off from each other
    When an operator makes 600 changes
    And data centres a and b reach each other again
    And 4000 ms pass
    Then revision 601 is in force on a-1, a-2, b-1, b-2

  Scenario: An older whole configuration from a peer changes nothing
    When an operator makes 5 changes
    And 2000 ms pass
    And a peer sends a-1 the whole configuration of revision 3
    Then revision 6 is in force on a-1, a-2, b-1, b-2

  Scenario: The mutation that adopts any whole configuration is found
    Given the product is changed so that a follower adopts any whole configuration
    When an operator makes 5 changes
    And 2000 ms pass
    And a peer sends a-1 the whole configuration of revision 3
    Then revision 3 is in force on a-1

  Scenario: A change that reaches an instance out of order waits for those before it
    Then an instance that is given change 3 before change 2 stays at revision 1

  Scenario: A new instance starts from a snapshot and the changes after it
    When an operator makes 70 changes
    And instance a-4 is started in a
    And 1000 ms pass
    Then revision 71 is in force on a-4
