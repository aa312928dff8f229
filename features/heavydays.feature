Feature: Decisions under the heaviest loads
  # Patterns of load, each with the decision that answers it; the figures come from a deployment
  # with calls of 200 ms, results of 1.5 MB and room for seven of them at a server.

  Scenario: A burst fills the room for results, and a server misses it by one result
    Given a server whose room for 7 results is to be filled by a call with 5 beside 2 that lie there
    When it has no room for the last one
    Then it is not taken to be full of results of others

  Scenario: A server is full of results that another instance had made there
    Given a server whose room for 7 results is to be used by a call with 1 beside 0 that lie there
    When it has no room for the last one
    Then it is taken to be full of results of others

  Scenario: In a burst a request none of whose pieces was taken is refused in time
    Given a stage of 5 pieces that nothing is begun of, to be given up after 2200 ms
    When 2100 ms go by at the queue
    Then the stage waits on
    When 200 ms go by at the queue
    Then the stage is settled as not begun

  Scenario: A request whose first piece was taken is not given up
    Given a stage of 5 pieces that nothing is begun of, to be given up after 2200 ms
    And one of its pieces is taken
    When 3000 ms go by at the queue
    Then the stage waits on

  Scenario Outline: Only a request of which nothing ran is refused when its stage is given up
    Given a request whose stage is given up since nothing of it was begun
    And <before>
    When its stages run
    Then it ends as <end>

    Examples:
      | before                           | end                  |
      | nothing else of it was begun     | a refusal            |
      | another of its stages is under way | a whole set of results |

  Scenario: A stage that another instance had before is never called not begun
    Given a stage that was handed to an instance and moved to the next one
    When the next one gives it up as not begun
    Then its request is told that it came too late

  Scenario Outline: Among teams of equal priority the route decides, before it the team
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

  Scenario: In a burst the more urgent pieces go first though the others are due sooner
    Given pieces of rank 0 due in 900 ms behind pieces of rank 2 due in 200 ms
    When the next call is filled
    Then it holds the pieces of rank 0

  Scenario: Who comes back and can not be on time goes behind those who can
    Given requests with an aim of 1100 ms that come with 6000 ms
    When one of them comes with 5100 ms left
    Then it is known to be 900 ms old
    And one that comes with 5950 ms left counts as a first try

  Scenario Outline: Work that meets in one place stays where it is when an instance starts again
    Given <number> instances that started together
    When the one that has the work of a topic is killed and starts again
    Then the work is at another one, and stays there

    Examples:
      | number |
      | 3      |
      | 6      |
      | 61     |

  Scenario: Large machines take shared work, also where they are the youngest
    Given 6 instances that started together
    And one with four times the cores that started last
    Then the work of every topic is at that one

  Scenario Outline: Prompts go where large results lie, and kept parts follow them
    Given an engine that reads <speed> tokens a millisecond and moves kept parts at <mbps> Mbit/s
    And a shared part of 6300 tokens that a server of another data centre keeps
    When a prompt with 2890 tokens of its own and large results in the first data centre is placed
    Then it goes to the <place> data centre and <how>

    Examples:
      | speed | mbps   | place  | how                  |
      | 38.4  | 260000 | first  | fetches 6300 tokens  |
      | 61.2  | 260000 | first  | fetches 6300 tokens  |
      | 38.4  | 0      | second | reads its own tokens |

  Scenario: Parts that are cheaper to read than to move are read
    Given an engine that reads 38.4 tokens a millisecond and moves kept parts at 10000 Mbit/s
    And a shared part of 60 tokens that a server of another data centre keeps
    When a prompt with 500 tokens of its own and large results in the first data centre is placed
    Then it goes to the first data centre and reads all of its tokens

  Scenario: A part that no server is known to keep is counted as read
    Given an engine that reads 38.4 tokens a millisecond and moves kept parts at 260000 Mbit/s
    When a prompt with 2890 tokens of its own and an unknown part of 6300 is placed
    Then it is expected to read 9190 tokens

  Scenario Outline: The speed of engines is learnt on any deployment
    Given engines that really read <speed> tokens a millisecond
    When 60 prompts were read
    Then the speed is known within 15 parts in a hundred

    Examples:
      | speed |
      | 20    |
      | 38.4  |
      | 61.2  |

  Scenario: Results are given up once they are fetched, and later where that was too early
    Given results of 3.75 MB over links of 10000 Mbit/s
    Then they are kept for about 49 ms after the request was sent
    When a server found them gone
    Then they are kept for about 98 ms after the request was sent
    When 40 servers had what they needed
    Then they are kept for about 49 ms after the request was sent

  @forwarding
  Scenario: A server that can not be reached does not cost the results of stages
    Given a forwarding fleet of instances a-1, a-2, b-1
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And stage servers enc-1, enc-2 of service enc
    And server llm-2 has fault "unreachable", which shows after 300 ms
    When 6 lasting requests come one after the other
    Then no piece was made twice

  @forwarding
  Scenario: Stages are run again when a result was lost on the way
    Given a forwarding fleet of instances a-1, a-2, b-1
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And stage servers enc-1, enc-2 of service enc
    And the next result of a first stage is lost
    When lasting request r is sent to a-1
    Then it is answered whole

  Scenario: The least urgent are not told of waits that do not come
    Given a stage service that makes 0.04 pieces a millisecond, all of it asked for by rank 0
    When 10 pieces of rank 2 wait
    Then those of rank 2 are expected to wait 714 ms
    And those of rank 0 are expected to wait 0 ms
