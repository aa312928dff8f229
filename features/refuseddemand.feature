Feature: Coordinators know of the demand that was refused elsewhere
  # The failure: the most urgent requests were refused as often as the least urgent ones at their
  # common bottleneck, since its queue did not know of what was refused.

  Scenario: Less urgent ranks expect longer waits while more urgent requests are refused
    Given a service that makes 0.04 pieces a millisecond
    When 12 pieces of rank 2 wait there
    Then those of rank 2 are expected to wait for 300 ms
    When 30 pieces of rank 0 are refused
    Then those of rank 2 are expected to wait for 600 ms
    And those of rank 0 are expected to wait for 0 ms

  Scenario: Refused pieces do not delay those that give way, since they take nothing
    # The failure: with all requests giving way, so few were admitted that calls were not full.
    Given a service that makes 0.04 pieces a millisecond
    When 8 pieces of rank 1 give way
    And 30 pieces of rank 0 are refused
    Then those of rank 1 that give way are expected to wait for 200 ms

  Scenario: Refused pieces count towards the floor of their rank
    Given a service with floors
    When 12 pieces of rank 0 arrive, and 36 of rank 2 are refused
    Then ranks 0 and 2 have floors of 0.125 and 0.375

  @forwarding
  Scenario Outline: Coordinators are told what other instances refused, at most every 200 ms
    Given a fleet with a stage service whose queue is full
    When <number> requests are refused at <instance>, one every <ms> ms
    Then the coordinator counts <pieces> pieces of them as asked for
    And it was sent <messages> messages about them

    Examples:
      | number | instance        | ms  | pieces | messages |
      | 1      | another         | 1   | 2      | 1        |
      | 10     | another         | 15  | 20     | 2        |
      | 3      | another         | 250 | 6      | 3        |
      | 3      | the coordinator | 15  | 6      | 0        |

  @forwarding
  Scenario: A request that is refused again counts once
    Given a fleet with a stage service whose queue is full
    When 1 requests are refused at another, one every 1 ms
    And it is refused again after 900 ms
    Then the coordinator counts 2 pieces of them as asked for
    And one retry is counted as refused again there

  @forwarding
  Scenario: Nothing is sent while nothing is refused
    Given a fleet with a stage service whose queue is empty
    When 5 requests are admitted at another
    Then the coordinator counts 0 pieces of them as asked for
    And it was sent 0 messages about them

  @forwarding
  Scenario Outline: What an operator sees of refused demand
    Given a fleet with a stage service whose queue is full
    And schedule_retries is off at <where>
    When 10 requests are refused at another, one every 60 ms
    Then the coordinator has written <lines> line about refused demand and counted <pieces> pieces
    And it was sent <messages> messages about them

    Examples:
      | where           | lines | pieces | messages |
      | no instance     | 1     | 20     | 4        |
      | the coordinator | 0     | 0      | 4        |
      | the others      | 0     | 0      | 0        |

  @forwarding
  Scenario Outline: Services with few servers keep the former order and times of retries
    # The failure: with three servers, where one call is a large part of what a service makes, returns
    # that went first had more first attempts refused than they were worth.
    Given a fleet with a stage service whose queue is full
    And decisions under load apply from <number> servers on
    When 10 requests are refused at another, one every 60 ms
    Then it was sent <messages> messages about them

    Examples:
      | number | messages |
      | 1      | 4        |
      | 99     | 0        |

  @forwarding
  Scenario: Refused demand for a service that the catalogue lacks, or of unknown ranks, is ignored
    Given a fleet with a stage service whose queue is empty
    When the coordinator is sent refused demand for service gone, and of 9 ranks for service enc
    Then it has no queue for service gone
    And the coordinator counts the pieces of 6 ranks only
