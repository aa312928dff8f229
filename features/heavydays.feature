Feature: Decisions under heavy load
  # Each scenario holds one decision in a pattern of load under which a wrong one refuses requests
  # or misses latency targets. The figures come from a deployment with calls of 200 ms, results of
  # 1.5 MB and result memory for seven of them on each server.

  Scenario: A call that itself fills the result memory does not mark the server as full
    Given a server whose memory for 7 results is to be filled by a call with 5 pieces beside 2 stored results
    When it refuses the last piece for lack of memory
    Then its memory is not recorded as full

  Scenario: A server without memory for a call is recorded as full of other instances' results
    Given a server whose memory for 7 results is to be used by a call with 1 pieces beside 0 stored results
    When it refuses the last piece for lack of memory
    Then its memory is recorded as full of results of other instances

  Scenario: A stage of which no piece was dispatched is given up in time for a refusal
    Given a stage of 5 pieces, none of them begun, to be given up after 2200 ms
    When 2100 ms pass in the queue
    Then the stage still waits
    When 200 ms pass in the queue
    Then the stage is settled as not begun

  Scenario: A stage of which a piece was dispatched is not given up
    Given a stage of 5 pieces, none of them begun, to be given up after 2200 ms
    And one of its pieces is dispatched
    When 3000 ms pass in the queue
    Then the stage still waits

  Scenario Outline: Giving up a stage refuses only a request of which nothing ran
    Given a request with a stage that is given up before any of its pieces began
    And <before>
    When its stages run
    Then it ends as <end>

    Examples:
      | before                             | end                       |
      | no other stage of it has begun     | a refusal                 |
      | another of its stages is running   | a complete set of results |

  Scenario: A reassigned stage is never reported as not begun, since the first assignee may have begun it
    Given a stage that was assigned to one instance and reassigned to a second
    When the second instance gives it up as not begun
    Then the stage fails as late

  Scenario Outline: The team's priority decides first, and among teams of equal priority the route's
    Given routes with priorities 0, 1 and 2 and teams with priorities <levels>
    When a request of a team with priority <team> is sent on the route with priority <route>
    Then its rank is <rank>

    Examples:
      | levels | team | route | rank |
      | 1, 1   | 1    | 0     | 0    |
      | 1, 1   | 1    | 2     | 2    |
      | 0, 1   | 0    | 2     | 2    |
      | 0, 1   | 1    | 0     | 3    |
      | 0, 1   | none | 1     | 1    |

  Scenario: More urgent pieces go first although the others are due sooner
    Given pieces of rank 2 due in 200 ms, queued before pieces of rank 0 due in 900 ms
    When the next call is filled
    Then it holds the pieces of rank 0

  Scenario: The age of a retried request is estimated from its remaining time
    Given requests with a latency target of 1100 ms and usually 6000 ms to their deadline
    When one of them arrives with 5100 ms remaining
    Then its age is estimated as 900 ms
    And one that arrives with 5950 ms remaining counts as a first attempt

  Scenario Outline: The restart of a coordinator moves its topics once, not back again
    Given <number> instances that started at the same time
    When the coordinator of each topic is killed and restarts
    Then another instance becomes the coordinator and remains it

    Examples:
      | number |
      | 3      |
      | 6      |
      | 61     |

  Scenario: Instances with many cores become coordinators even if they started last
    Given 6 instances that started at the same time
    And an instance with four times the cores that started last
    Then that instance is the coordinator of every topic

  Scenario Outline: Prompts go to their large inputs and fetch cached parts if transfers are supported
    Given an engine that prefills <speed> tokens a millisecond and transfers cached parts at <mbps> Mbit/s
    And a shared part of 6300 tokens that a server of another data centre has cached
    When a prompt with 2890 tokens of its own and large results in the first data centre is placed
    Then it goes to the <place> data centre and <how>

    Examples:
      | speed | mbps   | place  | how                     |
      | 38.4  | 260000 | first  | fetches 6300 tokens     |
      | 61.2  | 260000 | first  | fetches 6300 tokens     |
      | 38.4  | 0      | second | prefills its own tokens |

  Scenario: Parts that are cheaper to prefill than to transfer are prefilled
    Given an engine that prefills 38.4 tokens a millisecond and transfers cached parts at 10000 Mbit/s
    And a shared part of 60 tokens that a server of another data centre has cached
    When a prompt with 500 tokens of its own and large results in the first data centre is placed
    Then it goes to the first data centre and prefills all of its tokens

  Scenario: A part that no server is known to have cached counts as prefilled
    Given an engine that prefills 38.4 tokens a millisecond and transfers cached parts at 260000 Mbit/s
    When a prompt with 2890 tokens of its own and an unknown part of 6300 is placed
    Then it is expected to prefill 9190 tokens

  Scenario Outline: The prefill speed of engines is learnt from any start
    Given engines with a true speed of <speed> prefilled tokens a millisecond
    When 60 prompts were prefilled
    Then the speed is estimated within 15 percent

    Examples:
      | speed |
      | 20    |
      | 38.4  |
      | 61.2  |

  Scenario: Results are released once they are fetched, and later after a release that was too early
    Given results of 3.75 MB over links of 10000 Mbit/s
    Then they are stored for about 49 ms after the request was sent
    When a server found them already released
    Then they are stored for about 98 ms after the request was sent
    When 40 servers fetched them in time
    Then they are stored for about 49 ms after the request was sent

  @forwarding
  Scenario: An unreachable model server does not make stages run again
    Given a forwarding fleet of instances a-1, a-2, b-1
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And stage servers enc-1, enc-2 of service enc
    And server llm-2 has fault "unreachable", detected after 300 ms
    When 6 lasting requests come one after the other
    Then no piece ran twice

  @forwarding
  Scenario: A stage runs again when its result was lost before the next stage read it
    Given a forwarding fleet of instances a-1, a-2, b-1
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And stage servers enc-1, enc-2 of service enc
    And the next result of a first stage is lost
    When lasting request r is sent to a-1
    Then it is answered completely

  Scenario: The expected wait of the least urgent stays finite when more urgent demand takes the whole rate
    Given a stage service that completes 0.04 pieces a millisecond, all of them demanded by rank 0
    When 10 pieces of rank 2 wait
    Then those of rank 2 are expected to wait 714 ms
    And those of rank 0 are expected to wait 0 ms
