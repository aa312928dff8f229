Feature: Admission, membership and cost
  Scenario: A free slot goes to the team with the fewest running requests for its share
    Given an instance with 4 slots and teams big of share 3 and small of share 1
    When 8 requests of big and 8 of small come at once and each runs 100 ms
    Then of the 4 that ran after the first 4 3 were of big

  Scenario: When the queue is full the team with the most load for its share is refused at once
    Given an instance with 1 slots and teams big of share 1 and small of share 1
    When 12 requests of big and 2 of small come at once and each runs 10 ms
    Then every request of small ran and some of big were refused with 2002 and 2003 at once

  Scenario: A request that waits longer than its deadline allows is refused
    Given an instance with 1 slots and teams big of share 1 and small of share 1
    When 3 requests of big and 0 of small come at once and each runs 600 ms
    Then 2 ran and 1 was refused with 2001 after 1000 ms

  Scenario: A shutdown refuses waiting requests
    Given an instance with 1 slots and teams big of share 1 and small of share 1
    When 3 requests of big and 0 of small come at once and the instance is shut down
    Then 1 ran and 2 were refused with 2005 at once

  @virtual
  Scenario: A server that announced to one instance that it is leaving gets no work from the others
    Given a fleet of instances a-1, a-2, b-1
    And the server small-1 has faults {"draining": true}
    When 10 requests are sent to "a-1" for "reply", one every 20 ms
    And 100 ms pass
    And 20 requests are sent to "b-1" for "reply", one every 20 ms
    Then every one of them is done
    And instance b-1 counted "retried.server_refused" 0 times

  @virtual
  Scenario: Costs survive a crash except those of the last seconds, and count once
    Given a fleet of instances a-1, a-2
    When the platform all has faults {"lose_answers": 1}
    And 10 requests are sent to "a-1" for "reply", one every 20 ms
    And 12000 ms pass
    And 5 requests are sent to "a-1" for "reply", one every 20 ms
    And instance a-1 is killed
    And 12000 ms pass
    Then the store accounts for 10 calls of stage encode

  @virtual
  Scenario: Old claims are deleted
    Given a fleet of instances a-1
    When "a-1" is sent "push" as "one" with {"key": "k"}
    And 1000 ms pass
    Then the store holds 1 claims
    When 90000000 ms pass on the wall clock
    Then the store holds 0 claims

  @virtual
  Scenario: Servers of the instance's own data centre are preferred
    Given a fleet of instances a-1
    When 20 requests are sent to "a-1" for "reply", one every 100 ms
    Then every one of them is done
    And "encode" never ran on small-2
    And "generate" never ran on large-2

  @virtual
  Scenario: Work spills to another data centre when its own is congested
    Given a fleet of instances a-1
    When 60 requests are sent to "a-1" for "reply", one every 1 ms
    Then every one of them is done
    And "generate" ran on large-2 as well
