Feature: Memory for stage results
  # A result takes up memory on the server that made it until it is released or expires after four
  # seconds. In the scenarios with a fleet, the servers of service scan have memory for five results,
  # and its results are the inputs of service rank. A call takes 150 ms and 10 ms for each piece.

  @forwarding
  Scenario Outline: Inputs are released while their stage runs, if their server's memory is half full
    # Results that stay until the next stage is done keep calls to their own servers from being full.
    Given a fleet whose stages are scan and then rank
    When request r with <scans> pieces of scan and 1 piece of rank is sent
    Then the first result of scan is released <when> the call of rank ends
    And no result is released twice
    And <stages> stages had their inputs released early
    And no result is kept as releasable

    Examples:
      | scans | when   | stages |
      | 3     | before | 1      |
      | 2     | after  | 1      |

  @forwarding
  Scenario: Inputs are not released early if the setting is off
    Given a fleet whose stages are scan and then rank
    And memory for results is not reserved
    When request r with 3 pieces of scan and 1 piece of rank is sent
    Then the first result of scan is released after the call of rank ends
    And 0 stages had their inputs released early

  @forwarding
  Scenario: Inputs are not released while pieces that read them wait for a server
    Given a fleet whose stages are scan and then rank
    When request r with 3 pieces of scan and 20 pieces of rank is sent
    Then the first result of scan is released before the call of rank ends
    But not before all pieces of rank have begun
    And no result is released twice

  @forwarding
  Scenario: Inputs that two stages read are not released early
    # One stage would find the inputs missing that the other one has fetched.
    Given a fleet whose stages are scan and then both rank and sum
    When request r with 3 pieces of scan and 1 piece of rank is sent
    Then it is answered and no stage ran twice
    And the first result of scan is released after the call of rank ends
    And 0 stages had their inputs released early

  @forwarding
  Scenario: Inputs that two stages may read are released early if only one of them has pieces
    Given a fleet whose stages are scan and then both rank and sum
    And the request has no piece of sum
    When request r with 3 pieces of scan and 1 piece of rank is sent
    Then the first result of scan is released before the call of rank ends

  Scenario Outline: Inputs are only considered fetched if the call's turn has come at its server
    # A call that waits behind an overdue one fetches its inputs when that one ends.
    Given a stage of 1 piece that may release its inputs
    When its call begins at a server that runs 1 call at once and has <calls>
    And 1000 ms pass
    Then its inputs are <state>

    Examples:
      | calls | state        |
      | 1     | released     |
      | 2     | not released |

  Scenario: Inputs of a stage that was withdrawn are not released a second time
    Given a stage of 1 piece that may release its inputs
    When its call begins at a server that runs 1 call at once and has 1
    And the stage is withdrawn
    And 1000 ms pass
    Then its inputs are not released

  Scenario: A piece that is queued again needs its inputs until its next call has fetched them
    Given a stage of 2 pieces that may release its inputs
    When its first piece's call has fetched them and its piece is queued again
    And the call of its second piece has fetched them
    Then its inputs are not released
    When the second call of its first piece has fetched them
    Then its inputs are released

  Scenario Outline: The wait for inputs to be fetched depends on their size and on both links
    Given a stage of 1 piece that may release its inputs
    And 4 inputs of 1.5 MB over links of <source> and <own> Mbit/s
    When its call begins at a server that runs 1 call at once and has 1
    Then its inputs are released after about <ms> ms

    Examples:
      | source | own   | ms  |
      | 10000  | 10000 | 54  |
      | 1000   | 10000 | 184 |
      | 10000  | 1000  | 184 |
      | 0      | 0     | 40  |

  @forwarding
  Scenario: Stages run again if inputs that were released early are needed after all
    Given a fleet whose stages are scan and then rank
    And the first call of rank takes 120 ms and then fails
    When request r with 3 pieces of scan and 1 piece of rank is sent
    Then it is answered
    And 1 early release turned out to be needed
    And every result of scan was released

  @forwarding
  Scenario: The coordinator of the reading stage dies after it released the inputs
    Given a fleet whose stages are scan and then rank
    And the coordinator of rank dies 120 ms after the first call of rank begins
    When request r with 3 pieces of scan and 1 piece of rank is sent
    Then it is answered

  Scenario Outline: Inputs are kept for longer if a call found them already released
    # A repeated call finds them released however long they are kept.
    Given a stage of 1 piece that may release its inputs
    When its inputs were released and missing in call <call>
    And the call of the next stage begins
    Then its inputs are released after about <ms> ms

    Examples:
      | call | ms |
      | 1    | 80 |
      | 2    | 40 |

  @forwarding
  Scenario Outline: An input that is gone with its server does not count as released too early
    # Crashes of the servers that hold inputs would pause early release, and lengthen the wait.
    Given a fleet whose stages are scan and then rank
    And the first call of rank takes 300 ms and then lacks an input
    And the servers of scan <restart> 120 ms after it begins
    When request r with 3 pieces of scan and 1 piece of rank is sent
    Then it is answered
    And <number> early release turned out to be needed

    Examples:
      | restart       | number |
      | restart       | 0      |
      | don't restart | 1      |

  Scenario: A piece without released inputs does not show that another one's were fetched in time
    # The wait would become shorter again although each call with released inputs lacked them.
    Given a stage of 1 piece that may release its inputs
    When its inputs were released and missing in call 1
    And that call is answered, and made a piece of another stage
    And the call of the next stage begins
    Then its inputs are released after about 80 ms

  Scenario: A piece whose second copy fails needs its inputs until its first copy has fetched them
    # The first copy may wait behind an overdue call, and would find them missing.
    Given a stage of 2 pieces that may release its inputs
    When the call of its first piece's second copy has fetched them and then fails
    And the call of its second piece has fetched them
    Then its inputs are not released

  Scenario: Inputs are not released early while that is paused
    Given a stage of 1 piece that may release its inputs
    When its inputs were released and missing in call 1
    And its inputs were released and missing in call 2
    And the call of the next stage begins
    And 1000 ms pass
    Then its inputs are not released

  Scenario Outline: Early release pauses if more than one in fifty is needed after all
    Given <releases> early releases
    When <needed> of them turn out to be needed
    Then early release <is> paused
    And after 5001 ms it is not paused

    Examples:
      | releases | needed | is     |
      | 500      | 10     | is not |
      | 500      | 11     | is     |
      | 10       | 1      | is not |
      | 10       | 2      | is     |

  Scenario: Inputs that are needed during a pause do not count after it
    # They were released before the pause, which their like began; counted again, they would begin
    # the next one although none of the later releases was needed.
    Given 10 early releases
    When 10 of them turn out to be needed
    And 500 more early releases follow after 5001 ms, of which 7 are needed
    Then early release is not paused after that

  @forwarding
  Scenario: A fetched result is released by the coordinator of its server's data centre
    Given a fleet with service scan divided among data centres a, b and c
    When 3 pieces of scan run in data centre a
    And an instance of data centre c reports their results as fetched
    Then the oldest of them is released, by the coordinator of data centre a
    When the instance that submitted them releases them too
    Then each of them was released once

  @forwarding
  Scenario: A fetched result that was lent is released once
    # Its release goes to the coordinator that had it made, although another one passed it on.
    Given a fleet with service scan divided among data centres a, b and c
    When 3 pieces of scan are lent by data centre a
    And an instance of data centre c reports their results as fetched
    Then the oldest of them is released, by the coordinator of data centre b
    When the instance that submitted them releases them too
    Then each of them was released once

  @forwarding
  Scenario: A coordinator passes on fetched results of another data centre
    # In a large fleet, only coordinators have links to those of other data centres.
    Given a fleet with service scan divided among data centres a, b and c
    When 3 pieces of scan run in data centre a
    And the coordinator of data centre c is told that their results are fetched
    Then the oldest of them is released, by the coordinator of data centre a

  @forwarding
  Scenario: A coordinator whose setting is off ignores which results were fetched
    Given a fleet with service scan divided among data centres a, b and c
    And memory for results is not reserved by the coordinator of data centre a
    When 3 pieces of scan run in data centre a
    And an instance of data centre c reports their results as fetched
    Then no result is released

  @forwarding
  Scenario: A fetched result of another coordinator is left to the release at the end of its stage
    # A successor does not know how large it is, nor whether it was released.
    Given a fleet with service scan divided among data centres a, b and c
    When 3 pieces of scan run in data centre a
    And the coordinator of data centre a is replaced
    And an instance of data centre c reports their results as fetched
    Then no result is released

  @forwarding
  Scenario: Kept results are released when a call needs half of their server's memory
    Given a fleet with service scan divided among data centres a, b and c
    When 2 pieces of scan run in data centre a
    And an instance of data centre c reports their results as fetched
    Then no result is released
    When 2 more pieces of scan run there
    Then the oldest of the first results is released

  Scenario: Fetched results are released oldest first, until less than half of the memory is in use
    Given a server with memory for 10 results that holds 7
    When results 3, 1 and 2 are reported as fetched, in this order
    Then results 3, 1 and 2 are released, in this order
    Given a server with memory for 10 results that holds 6
    When results 3, 1 and 2 are reported as fetched, in this order
    Then results 3 and 1 are released, in this order
    When the results are checked again before these two are released
    Then no further result is released
    When 1 more result is made there
    Then result 2 is released

  @forwarding
  Scenario: A fetched result of a server that has restarted is not released at its successor
    # The new server may have given the handle to a new result.
    Given a fleet with service scan divided among data centres a, b and c
    When 3 pieces of scan run in data centre a
    And their servers restart
    And an instance of data centre c reports their results as fetched
    Then no result is released

  @forwarding
  Scenario: A handle that a restarted server gives to a new result is released again
    Given a fleet whose stages are scan and then rank
    When a result of scan is made and released twice
    Then one call released it
    When its server restarts, and makes and releases a result with the same handle
    Then another call released it

  @forwarding
  Scenario Outline: A second copy of a late piece that lacks an input does not fail the request
    # The first copy has fetched its inputs before they were released, and is just slow.
    Given a fleet whose stages are scan and then rank
    And the first call of rank takes <ms> ms and then <ends>
    When request r with 3 pieces of scan and 1 piece of rank is sent
    Then it is answered
    And <copies> copies of its pieces lacked an input
    And the stages ran <times>

    Examples:
      | ms  | ends     | copies | times |
      | 700 | succeeds | 1      | once  |
      | 700 | fails    | 1      | twice |
      | 100 | fails    | 0      | twice |

  @forwarding
  Scenario: A first copy that lacks an input leaves the piece to the second copy
    Given a fleet whose stages are scan and then rank
    And the first call of rank takes 400 ms and then lacks an input
    When request r with 2 pieces of scan and 1 piece of rank is sent
    Then it is answered
    And 1 copies of its pieces lacked an input
    And the stages ran once

  @forwarding
  Scenario: A first copy that lacks an input fails its stage while the second copy only waits
    # The second copy would lack the input as well, after another call.
    Given a fleet whose stages are scan and then rank
    And the first call of rank takes 400 ms and then lacks an input
    And the servers of rank are paused for 600 ms from then on
    When request r with 2 pieces of scan and 1 piece of rank is sent
    Then it is answered
    And 0 copies of its pieces lacked an input
    And the stages ran twice

  @forwarding
  Scenario: A second copy that lacks an input fails the request if the setting is off
    Given a fleet whose stages are scan and then rank
    And the first call of rank takes 700 ms and then succeeds
    And the second call of rank takes 0 ms and then lacks an input
    And memory for results is not reserved
    When request r with 2 pieces of scan and 1 piece of rank is sent
    Then it is answered
    And 0 copies of its pieces lacked an input
    And the stages ran twice

  Scenario Outline: How long results are needed follows from the call and the next step
    # Results wait for the next step from the end of their own call on.
    Given calls of 200 ms, results that are kept for 4000 ms, and next steps <steps>
    Then their results wait <wait> ms and take up memory for <hold> ms
    And the next step <is> too far behind

    Examples:
      | steps                            | wait | hold | is     |
      | none                             | 0    | 200  | is not |
      | 100+300                          | 0    | 500  | is not |
      | 2200+300                         | 2000 | 2500 | is not |
      | 2201+300                         | 2001 | 2501 | is     |
      | 9000+300                         | 8800 | 4200 | is     |
      | 100+300 and 2500+300             | 2300 | 2800 | is     |
      | 2500+300, or 700+300 elsewhere   | 500  | 1000 | is not |

  @forwarding
  Scenario Outline: A stage whose next step is far behind gets memory after all others
    # Its results would expire unused while the others find no memory.
    Given a fleet whose stages are scan and then rank
    And new pieces of rank are expected to wait <wait> ms
    And the servers of scan have <used> results in their memory for 5
    When stages that need rank with <held> pieces and others with <others> pieces wait for scan
    Then the next call takes <taken> of the former and <rest> of the latter

    Examples: The others need the memory
      | wait | used | held | others | taken | rest |
      | 3000 | 0    | 5    | 4      | 0     | 4    |
      | 3000 | 0    | 5    | 8      | 0     | 5    |
      | 3000 | 3    | 1    | 3      | 0     | 2    |

    Examples: They leave less than half of it unused, which remains for those that arrive later
      | wait | used | held | others | taken | rest |
      | 3000 | 0    | 8    | 0      | 2     | 0    |
      | 3000 | 0    | 8    | 1      | 1     | 1    |
      | 3000 | 3    | 8    | 0      | 0     | 0    |

    Examples: The next step is not far behind, or the memory suffices for all
      | wait | used | held | others | taken | rest |
      | 2100 | 0    | 8    | 4      | 5     | 0    |
      | 3000 | 0    | 3    | 2      | 3     | 2    |

  @forwarding
  Scenario: A stage that has begun is not held back
    # Its first results take up memory until it is complete.
    Given a fleet whose stages are scan and then rank
    And new pieces of rank are expected to wait 3000 ms
    And the servers of scan have 0 results in their memory for 5
    And the stages that need rank have begun
    When stages that need rank with 5 pieces and others with 4 pieces wait for scan
    Then the next call takes 5 of the former and 0 of the latter

  @forwarding
  Scenario: Memory that others wait for is not given to a stage whose next step is far behind
    # All pieces of a stage need room, unless the memory is empty.
    Given a fleet whose stages are scan and then rank
    And new pieces of rank are expected to wait 3000 ms
    And the servers of scan have 1 results in their memory for 5
    When stages that need rank with 1 pieces and another one with 5 wait for scan
    Then the next call takes 0 of the former and 0 of the latter

  @forwarding
  Scenario: No stage is held back if the setting is off
    Given a fleet whose stages are scan and then rank
    And memory for results is not reserved
    And new pieces of rank are expected to wait 3000 ms
    And the servers of scan have 0 results in their memory for 5
    When stages that need rank with 5 pieces and others with 4 pieces wait for scan
    Then the next call takes 5 of the former and 0 of the latter

  @forwarding
  Scenario: A result that is larger than half of the memory is made although its next step is behind
    Given a fleet whose results of scan are as large as the memory for them
    And new pieces of rank are expected to wait 3000 ms
    And the servers of scan have 0 results in their memory for 1
    When stages that need rank with 2 pieces and others with 0 pieces wait for scan
    Then the next call takes 1 of the former and 0 of the latter

  @forwarding
  Scenario Outline: A stage is held back for half of the time after which results expire at most
    # Guards against stages that are held back until their caller's deadline, for a wait that was
    # announced and never occurred.
    Given a fleet whose stages are scan and then rank
    And new pieces of rank are expected to wait 3000 ms
    And the servers of scan have 0 results in their memory for 5
    When stages that need rank with 5 pieces and others with 4 pieces wait for scan
    And <ms> ms go by
    Then the next call takes <taken> of the former and <rest> of the latter

    Examples:
      | ms   | taken | rest |
      | 1900 | 0     | 4    |
      | 2100 | 5     | 0    |

  @forwarding
  Scenario: A stage that was held back goes on once its next step has caught up
    Given a fleet whose stages are scan and then rank
    And new pieces of rank are expected to wait 3000 ms
    And the servers of scan have 3 results in their memory for 5
    When stages that need rank with 3 pieces and others with 0 pieces wait for scan
    Then the next call takes 0 of the former and 0 of the latter
    And the next call takes 0 of the former and 0 of the latter
    And 3 stages were held back
    When new pieces of rank are expected to wait 100 ms
    And 30 ms go by
    Then the next call takes 2 of the former and 0 of the latter

  @forwarding
  Scenario: The expected wait at the next step is the one that its coordinator announces
    Given a fleet whose stages are scan and then rank
    When 500 pieces wait at the coordinator of rank
    And 1000 ms go by
    Then the next step of pieces of scan is too far behind at the coordinator of scan
    When stages that need rank with 5 pieces and others with 8 pieces wait for scan
    And the coordinator of scan sends what waits
    Then the first call takes none of the former

  Scenario Outline: Usage is reported once it differs enough from what the standby assumes
    # The standby assumes that memory becomes free linearly until the reported time.
    Given a usage of 60 of 100 bytes that was reported to lapse after 1000 ms
    When the usage is <used> bytes <ms> ms later
    Then it <is> reported again

    Examples:
      | used | ms   | is     |
      | 60   | 100  | is not |
      | 71   | 0    | is     |
      | 69   | 0    | is not |
      | 60   | 500  | is     |
      | 30   | 500  | is not |
      | 60   | 1500 | is     |

  Scenario: A new standby is told of all usage
    Given a usage of 60 of 100 bytes that was reported to lapse after 1000 ms
    When another instance is the standby
    Then it is reported again

  Scenario: Only an instance that leaves passes on what it has inherited
    # Two instances that both act as coordinator would add up each other's reports.
    Given a coordinator with 30 bytes of its own and 40 inherited ones at a server
    Then it reports 30 bytes, and 70 if it leaves

  Scenario: A report replaces what a refusal had revealed
    Given a coordinator with 30 bytes of its own and 40 inherited ones at a server
    When the server refuses a piece, as 20 more bytes are in use
    Then 90 bytes are assumed to be in use
    When 40 inherited bytes are reported again
    Then 70 bytes are assumed to be in use

  Scenario: A result that replaces one with the same handle gives the memory of that one back
    # The memory of a result that a server lost in a restart would count as in use for good.
    Given a server with memory for 10 results that holds 2
    When its result 1 is replaced by a new one with its handle
    Then 2 results are accounted for, and none once they have expired

  Scenario Outline: Usage lapses when the results are not needed any more, else when they expire
    Given results at a server that are needed for <needed> ms and expire after 4000 ms
    Then after <ms> ms their usage is reported to lapse after <lapse> ms

    Examples:
      | needed | ms   | lapse |
      | 1000   | 100  | 900   |
      | 1000   | 1500 | 2500  |

  @forwarding
  Scenario Outline: The accounting of a coordinator outlives it
    # Its successor would send calls to servers whose memory is full, and be refused.
    Given a fleet with service scan divided among data centres a, b and c
    When 3 pieces of scan run in data centre a
    And the coordinator of data centre a <ends> after <ms> ms
    Then its successor counts <fewest> to <most> bytes as in use
    When 4500 ms go by
    Then its successor counts 0 to 0 bytes as in use

    Examples:
      | ends   | ms   | fewest | most  |
      | leaves | 10   | 30000  | 60000 |
      | dies   | 1000 | 10000  | 60000 |

  @forwarding
  Scenario Outline: No accounting is handed over if the setting is off at either end
    Given a fleet with service scan divided among data centres a, b and c
    And memory for results is not reserved by <where>
    When 3 pieces of scan run in data centre a
    And the coordinator of data centre a leaves after 10 ms
    Then its successor counts 0 to 0 bytes as in use

    Examples:
      | where                             |
      | the coordinator of data centre a  |
      | the other instances               |

  @forwarding
  Scenario: Reports of the accounting are small and rare
    Given a fleet with service scan divided among data centres a, b and c
    When 3 pieces of scan run in data centre a
    And 10000 ms go by
    # One for each report until the results have expired, at most.
    Then between 1 and 8 usages were reported
