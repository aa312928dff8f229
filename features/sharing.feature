Feature: Who goes next at a stage service that cannot serve all in time
  # Calls of 200 ms and 14 ms for each of up to 12 pieces: a full call takes 368 ms.

  Scenario Outline: A piece with time to spare does not make a less urgent one late
    # The failure: 12 pieces of rank 0 that could wait took the call, and those of rank 2 were late.
    Given 12 pieces of rank 0 due in <urgent> ms and 12 of rank 2 due in <other> ms
    When the next call is filled in their order
    Then the call is filled from rank <first>

    Examples:
      | urgent | other | first | because                                  |
      | 2000   | 600   | 2     | only those of rank 2 cannot wait         |
      | 700    | 600   | 0     | neither can wait                         |
      | 2000   | 300   | 0     | those of rank 2 are late anyway          |
      | 2000   | 800   | 0     | both can wait                            |
      | 300    | 600   | 2     | those of rank 0 are late anyway          |

  Scenario: A piece that a short call still serves in time is not given up
    Given 1 pieces of rank 0 due in 2000 ms and 1 of rank 2 due in 250 ms
    When the next call is filled in their order
    Then its first piece is of rank 2

  Scenario: Stages that have results come before all others, as they take up memory
    Given a service that is congested
    And 24 pieces each of rank 0 and of rank 2 have arrived
    When 3 pieces of a begun stage wait that can wait, and 24 each of ranks 0 and 2 that cannot
    Then the next call begins with the 3 pieces of the begun stage

  Scenario Outline: Each rank gets half of its share while the most urgent one asks for everything
    # The failure: in a burst of rank 0 nothing of rank 2 was sent for seconds.
    Given a service that is <load>
    And 18 pieces of rank 0 and 6 pieces of rank 2 arrive in each of 20 rounds, all due in 700 ms
    When a call is sent in each round
    Then between <least> and <most> of the 240 pieces sent are of rank 2, all of them in time

    Examples:
      | load          | least | most |
      | congested     | 28    | 36   |
      | not congested | 0     | 0    |

  Scenario: A rank that rarely sends a piece does not wait until its floor adds up to a whole one
    Given a service that is congested
    And 240 pieces of rank 0 have arrived and 120 were sent
    When 1 piece of rank 2 and 24 of rank 0 wait, all due in 700 ms
    Then the next call holds 11 pieces of rank 0 and 1 of rank 2

  Scenario: A rank is guaranteed something for pieces that have waited longer than arrivals count
    Given a service that is congested
    And 24 pieces of rank 0 have arrived and 0 were sent
    When 24 pieces of rank 0 and 24 of rank 2 wait, all due in 700 ms
    Then the next call holds 9 pieces of rank 0 and 3 of rank 2

  Scenario: A rank that asks for less than its floor gives up the rest at once
    Given a service that is congested
    And 24 pieces each of rank 0 and of rank 2 have arrived
    When 1 piece of rank 2 and 24 of rank 0 wait, all due in 700 ms
    Then the next call holds 11 pieces of rank 0 and 1 of rank 2

  Scenario Outline: A floor is filled with pieces that can be on time before those late anyway
    # The failure: the pieces due first were sent, all of them too late, and the others became late.
    Given a service that is congested
    And 24 pieces each of rank 0 and of rank 2 have arrived
    When 24 pieces of rank 0 due in 400 ms and 12 of rank 2 due in 300 ms wait, and 12 of rank 2 due in <due> ms
    Then the pieces of rank 2 in the next call are due in <due> ms

    Examples:
      | due | because                        |
      | 500 | they cannot wait               |
      | 900 | they can wait, but are in time |

  Scenario: Late pieces of begun stages do not use up what their rank is guaranteed for others
    # The failure: begun stages came first and were late, and counted as all that the rank got.
    Given a service that is congested
    And 24 pieces each of rank 0 and of rank 2 have arrived
    And a call with 12 pieces of rank 2 that are late was sent
    When 24 pieces of rank 0 and 24 of rank 2 wait, all due in 700 ms
    Then the next call holds 6 pieces of rank 0 and 6 of rank 2

  Scenario Outline: Pieces that became late while they waited use what is left of a floor
    Given a service that is congested
    And 24 pieces each of rank 0 and of rank 2 have arrived
    When 24 pieces of rank 0 wait due in 700 ms, and 24 of rank 2 that were <state>
    Then the next call holds <urgent> pieces of rank 0 and <late> of rank 2

    Examples:
      | state                | urgent | late |
      | in time when queued  | 9      | 3    |
      | late when queued     | 12     | 0    |

  Scenario: Pieces that are late on arrival earn no floor
    # The failure: retries that could not be on time took the calls from requests that could.
    Given a service that is congested
    And 24 pieces of rank 2 have arrived that were late already
    And 24 pieces each of rank 0 and of rank 1 have arrived
    When 24 pieces of rank 2 wait that are late
    Then ranks 0, 1 and 2 are guaranteed 0.25, 0.25 and 0 of the pieces

  Scenario Outline: A team that had more than its share goes behind the others of its rank
    # The failure: a team that sent ten times as much as the others made all of them wait as long.
    Given a service that is <load>
    And team large had <large> full calls and team small <small>
    When 24 pieces of team large due in <due> ms wait, and behind them <other> pieces of team small
    Then the next call holds <sent> pieces of team small

    Examples:
      | load          | large | small | due  | other | sent | because                          |
      | congested     | 10    | 1     | 2000 | 24    | 12   | large had more than its share    |
      | congested     | 10    | 1     | 2000 | 3     | 3    | small asks for no more           |
      | congested     | 10    | 0     | 2000 | 0    | 0    | large is alone                   |
      | congested     | 5     | 4     | 2000 | 24    | 0    | large is not far above its share |
      | congested     | 10    | 1     | 600  | 24    | 0    | only those of large cannot wait  |
      | not congested | 10    | 1     | 2000 | 24    | 0    | there is enough for both         |

  Scenario: A team that sends ten times as much as the others does not make them late
    Given a service that is congested
    And team large sends 20 pieces and 4 other teams 2 each in each of 20 rounds, all due in 900 ms
    When a call is sent in each round
    Then 150 or more of the 160 pieces of the other teams are sent in time, and no call has room left

  Scenario: What a team had that asks for no more is not shared among the others
    # The failure: teams that wait were each due a part of what a third one had that asks for no more.
    Given a service that is congested
    And team large had 5 full calls and team small 1
    And team other had 2 full calls and asks for nothing
    When 24 pieces of team large due in 2000 ms wait, and behind them 24 pieces of team small
    Then the next call holds 12 pieces of team small

  Scenario: A team over its share leaves its places to others of the same rank only
    # The failure: a team's use moved requests of a less urgent rank before its urgent ones.
    Given a service that is congested
    When 6 pieces of team large of rank 0, 6 of team large of rank 2 and 6 of team small of each wait
    Then team small takes the places of team large in each rank, and no rank loses a place

  Scenario: No more than 256 teams are remembered, the least used are dropped
    Given 300 teams that have used 1 to 300 ms of the servers' time
    Then the 256 that used most are remembered
    And after 4000 ms the sum of a team is 13.5 percent of what it was

  Scenario Outline: No rank is promised more than it gets
    # The failure: admission took a third of the throughput to be left for the least urgent rank and
    # all of it for the most urgent one, and let in requests that were then late.
    Given ranks 0 and 2 with floors of 0.3 and 0.2 at 0.1 pieces a millisecond, <load>
    When <first> pieces of rank 0 and <last> of rank 2 wait and rank 0 asks for <rate> of the throughput
    Then those of ranks 0 and 2 are expected to wait <wait0> and <wait2> ms

    Examples:
      | load          | first | last | rate | wait0 | wait2 |
      | congested     | 10    | 10   | 1.0  | 125   | 868   |
      | congested     | 10    | 0    | 1.0  | 100   | 368   |
      | congested     | 10    | 10   | 0.5  | 125   | 400   |
      | not congested | 10    | 10   | 1.0  | 100   | 1420  |
      | not congested | 10    | 10   | 0.5  | 100   | 400   |
      | congested     | 0     | 0    | 1.0  | 0     | 0     |

  Scenario Outline: A rank that was sent more than its floor is not promised the floor at once
    # The failure: at the start of a burst, a rank that had all calls before was let in for a floor
    # that it got only seconds later.
    Given ranks 0 and 2 with floors of 0.3 and 0.2 at 0.1 pieces a millisecond, <load>
    And over the last 2 s <first> pieces of rank 0 and <last> of rank 2 were sent
    When 10 pieces of rank 0 and 10 of rank 2 wait and rank 0 asks for 1.0 of the throughput
    Then those of ranks 0 and 2 are expected to wait <wait0> and <wait2> ms

    Examples:
      | load          | first | last | wait0 | wait2 | because                            |
      | congested     | 0     | 200  | 125   | 4087  | after 3219 ms 40 of 200 are left   |
      | congested     | 160   | 40   | 125   | 868   | it had no more than its floor      |
      | not congested | 0     | 40   | 100   | 2044  | after 1176 ms 22 of 111 are left   |

  Scenario: A rank that is expected to wait for its floor is not in the next call
    Given a service that is congested
    And 24 pieces each of rank 0 and of rank 2 have arrived
    And a call with 12 pieces of rank 2 that are in time was sent
    When 24 pieces of rank 0 and 24 of rank 2 wait, all due in 700 ms
    Then the next call holds 12 pieces of rank 0 and 0 of rank 2
    And rank 2 is expected to wait for its floor for 879 ms with one server

  Scenario: What is expected of late pieces is what those in time leave over
    Given ranks 0 and 2 with floors of 0.3 and 0.2 at 0.1 pieces a millisecond, congested
    When 10 pieces of rank 0 and 0 of rank 2 wait and rank 0 asks for 1.0 of the throughput
    Then late pieces are expected to wait 286 ms

  @forwarding
  Scenario Outline: In an overload every rank is served within the wait that was promised
    Given a forwarding fleet of instances a-1, a-2, b-1
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And stage servers enc-1, enc-2 of service enc
    And the coordinator of enc shares <how>
    When after 4 s for 20 s more pieces of rank 0 arrive there than it can make, and some of rank 2
    Then <part> of the stages of rank 2 that were expected in time are done in time
    And in the last 10 s it has done <number> stages of rank 2

    Examples:
      | how     | part       | number      |
      | fairly  | nearly all | at least 20 |
      | by rank | few        | at most 5   |

  @forwarding
  Scenario: A floor is promised from the time on at which it takes effect
    # Servers call for 230 ms with full calls; the service is congested after 345 ms.
    Given a forwarding fleet of instances a-1, a-2, b-1
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And stage servers enc-1, enc-2 of service enc
    And the coordinator of enc shares fairly
    When rank 0 asks for more than its servers make, and a piece of it has just begun to wait
    Then those of rank 2 are expected to wait for 575 ms there

  @forwarding
  Scenario: The team of a request decides its place at the coordinator
    Given a forwarding fleet of instances a-1, a-2, b-1
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And stage servers enc-1, enc-2 of service enc
    When a request of team desk with stages is sent to each instance
    Then the coordinator of enc has counted servers' time for team desk and no other

  Scenario: What a floor changed is counted, and logged once a second
    Given a service that is congested
    And 18 pieces of rank 0 and 6 pieces of rank 2 arrive in each of 20 rounds, all due in 700 ms
    When a call is sent in each round
    Then the pieces that floors sent earlier are counted, and at most 8 lines name them

  Scenario: What a team's share changed is counted, and logged
    Given a service that is congested
    And team large had 10 full calls and team small 1
    When 24 pieces of team large due in 2000 ms wait, and behind them 24 pieces of team small
    And the next call is sent
    Then 12 pieces are counted and logged as sent in place of those of team large

  @forwarding
  Scenario Outline: A service with few servers is served by rank and due time alone
    # Guards against floors and reservations where one call is a large part of what a service makes.
    Given a forwarding fleet of instances a-1, a-2
    And stage servers enc-1, enc-2 of service enc
    And decisions under load apply from <number> servers on
    Then at a-1 pieces of enc are <shared> fairly and memory for their results is <reserved>

    Examples:
      | number | shared     | reserved     |
      | 2      | shared     | reserved     |
      | 3      | not shared | not reserved |
