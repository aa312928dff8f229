Feature: When refused callers return
  # The failure: refused callers returned in a wave and were refused again, which costs them more
  # than one refusal.

  Scenario Outline: A refused caller returns as soon as it can be answered, and not before
    # A usual request takes 600 ms without waits and may take 2000 ms, its factor is 1.0.
    Given a refused request that waits <wait> ms, may take <patience> ms and has <allowed> ms left
    When its return is scheduled
    Then it returns after <after> ms, <in time>

    Examples:
      | wait  | patience | allowed | after | in time     | because                               |
      | 1500  | 4000     | 10000   | 800   | in time     | no backlog changes before             |
      | 3000  | 4000     | 10000   | 1600  | in time     | a usual request may wait 1400 ms      |
      | 3000  | 1500     | 10000   | 2100  | in time     | its caller leaves after 1500 ms       |
      | 3000  | 400      | 10000   | 3000  | hopeless    | it takes 600 ms alone                 |
      | 3000  | 4000     | 5400    | 1600  | in time     | its caller returns within 1620 ms     |
      | 3000  | 4000     | 5300    | 3000  | hopeless    | its caller returns within 1590 ms     |
      | 1500  | 4000     | 2600    | 1500  | hopeless    | a third of the time left is too short |
      | 300   | 4000     | 500     | 800   | hopeless    | it takes longer than it has left      |
      | 90000 | 4000     | 10000   | 30000 | hopeless    | longer times are not foreseen         |

  Scenario Outline: A wait counts by the factor of its route, so that a later return can be sooner
    Given a refused request that waits <wait> ms, may take 20000 ms and has <allowed> ms left
    And its route has a factor of <factor> and may take 20000 ms
    When its return is scheduled
    Then it returns after <after> ms, <in time>

    Examples:
      | wait | allowed | factor | after | in time  | because                               |
      | 3000 | 6000    | 2.0    | 1200  | in time  | each ms later saves 2 ms of wait      |
      | 3000 | 7000    | 2.0    | 800   | in time  | it can return as soon as any          |
      | 3000 | 2900    | 0.8    | 3000  | hopeless | each ms later saves only 0.8 ms       |
      | 9000 | 5000    | 2.0    | 9000  | hopeless | it would wait beyond its deadline     |

  Scenario: Callers that are refused together return one after the other
    Given a service that can serve 10 pieces of retries a second
    When requests of 4 pieces and ranks 1, 1, 1 are refused at once
    Then they return after 800, 1200 and 1600 ms

  Scenario: A caller for which no turn is left is hopeless, and is not told to return before it
    Given a service that can serve 4 pieces of retries a second
    When requests of 4 pieces and ranks 1, 1, 1, 1, 1 are refused at once
    Then they return after 800, 1800, 2800, 3800 and 3800 ms
    And the last 2 are hopeless

  Scenario: Less urgent callers return after more urgent ones, and leave them their turns
    Given a service that can serve 10 pieces of retries a second
    When requests of 4 pieces and ranks 0, 2, 0, 2 are refused at once
    Then they return after 800, 1200, 1200 and 2000 ms

  Scenario: What is made before a caller can return is not left for retries
    Given a service that can serve 20 pieces of retries a second
    When requests of 4 pieces and ranks 1 are refused at once
    And 700 ms later requests of 4 pieces and ranks 1, 1 are refused at once
    Then they return after 800, 800 and 1000 ms

  Scenario: Instances whose callers are refused at the same moment have them return at different times
    # The failure: of 80 instances each had its first refused caller return after 800 ms.
    Given a service that can serve 4 pieces of retries a second
    When requests of 4 pieces are refused at 4 instances with phases 0, 0.25, 0.5 and 0.75
    Then they return after 800, 1050, 1300 and 1550 ms

  Scenario: A caller that has retried already takes no turn
    Given a service that can serve 10 pieces of retries a second
    When a retry of 4 pieces is refused again, and then a first attempt
    Then they return after 800 and 800 ms

  Scenario: A caller whose turn comes too late for its deadline is hopeless
    # With a factor of 0.8, a later return costs the answer more time than the wait becomes shorter.
    Given a service that can serve 40 pieces of retries a second
    When 2 requests that wait 3000 ms with a factor of 0.8 and have 3050 ms left are refused
    Then they return after 800 and 3000 ms
    And the last 1 are hopeless

  Scenario: Turns are assigned for at most 30 s ahead
    Given a service that can serve 0.1 pieces of retries a second
    When requests of 4 pieces and ranks 1, 1 are refused at once
    Then they return after 800 and 30000 ms

  Scenario Outline: Retries of an instance get its share of what first attempts leave
    Given a service that makes 100 pieces a second, of which first attempts ask for <asked>
    When <instances> instances share it
    Then each can have <rate> pieces of retries a second

    Examples:
      | asked | instances | rate |
      | 60    | 1         | 40   |
      | 60    | 4         | 10   |
      | 95    | 1         | 10   |
      | 180   | 5         | 2    |

  Scenario Outline: Callers are patient for as long as their route lets them expect
    Given a route of kind <kind> with a latency target of <target> ms and pauses of up to <gap> ms
    Then its callers wait for <patience> ms

    Examples:
      | kind   | target | gap | patience |
      | stream | 300    | 100 | 2000     |
      | stream | 1135   | 100 | 4540     |
      | stream | 300    | 500 | 4000     |
      | safe   | 1135   | 500 | 20000    |

  @forwarding
  Scenario Outline: The time given to a refused caller is true
    # The failure: callers returned while the backlog had them refused again.
    Given a fleet with a stage service whose queue is full
    When a request is refused, and retried <sooner> ms sooner than it was told
    Then the retry is <outcome>

    Examples:
      | sooner | outcome       |
      | 0      | answered      |
      | 700    | refused again |

  @forwarding
  Scenario Outline: A return is admitted before first attempts that give way
    # The failure: callers that returned as told were refused again for first attempts that could not
    # be on time either.
    Given a fleet with a stage service whose queue is full of late first attempts
    When an attempt <age> ms after the first one of a request is made
    Then the attempt is <outcome>
    And if it is refused, a return would be admitted after 800 ms

    Examples:
      | age  | outcome  |
      | 0    | refused  |
      | 400  | refused  |
      | 1500 | admitted |

  @forwarding
  Scenario: The deadline of a route counts like the patience of its callers
    Given a fleet with a stage service whose queue is empty
    When 2 requests that take 1500 ms alone and wait 1500 ms are refused on a route with a deadline of 2000 ms
    # Nothing waits at its services any more, so that neither has to wait for the turn of the other.
    Then their callers return after 1000 and 1000 ms

  @forwarding
  Scenario: Callers that were refused again leave their turns to others, as they do not return
    Given a fleet with a stage service whose queue is full
    When 3 retries and then a first attempt are refused at the same time
    Then all of them were offered the same turn

  @forwarding
  Scenario: Instances draw different phases
    Given a fleet with a stage service whose queue is empty
    Then no two instances draw the same phase

  @forwarding
  Scenario Outline: The coordinator knows which stages belong to retries
    Given a fleet with a stage service whose queue is empty
    When a first attempt is admitted, and an attempt <age> ms after another one
    Then the stages of the second are announced and queued as those of a <kind>

    Examples:
      | age  | kind                             |
      | 0    | first attempt                    |
      | 400  | retry sooner than it was told to |
      | 1500 | return                           |

  @forwarding
  Scenario: The refusal of a request whose stages no server began names a time from the schedule
    Given a fleet with a stage service whose queue is empty
    When a request is admitted and no server begins its stages
    Then it is refused with the time that the schedule gave

  @forwarding
  Scenario: A refused caller without scheduled times gets the time of the formula
    Given a fleet with a stage service whose queue is full
    And schedule_retries is off at the others
    When 1 requests are refused at another, one every 1 ms
    Then no return was scheduled
    And its time to retry is 0.3 of the time it has left at most

  @forwarding
  Scenario Outline: The share of an instance follows the instances and servers that can be reached
    # 8 pieces in 230 ms are 34.8 a second for each server.
    Given 2 instances in each of data centres a and b, with <here> and <there> stage servers
    When <event>
    Then an instance of data centre a can have <rate> pieces of retries a second

    Examples:
      | here | there | event                     | rate | because                            |
      | 4    | 2     | nothing happens           | 52   | 6 servers for 4 instances          |
      | 4    | 2     | another instance joins    | 42   | 6 servers for 5 instances          |
      | 4    | 2     | data centre b is cut off  | 70   | 4 servers for 2 instances          |
      | 4    | 2     | two servers there end     | 35   | 4 servers for 4 instances          |
      | 8    | 4     | nothing happens           | 139  | 8 servers for 2 instances: divided |
      | 4    | 2     | 40 pieces a second arrive | 12   | 208.7 - 4 * 40 for 4 instances     |

  @forwarding
  Scenario: With enough capacity every request is served as without the schedule
    When the same requests are sent with schedule_retries on and off
    Then every call holds the same pieces at the same time
