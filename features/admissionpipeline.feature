Feature: Requests are admitted by the backlog of model servers as well
  # The failures: requests whose stages were free were admitted although all model servers had prompts
  # to read for seconds, and were answered late. Others were held by fully loaded stage services until
  # their callers left, without a word (83 of one kind on one day).

  Scenario Outline: A new prompt waits for the server with the shortest backlog
    # Servers are given as tokens to read / running prompts / tokens held by rank 0 / by rank 2 / time
    # factor. Without one of the terms, requests are admitted that wait for the reading of others, for
    # a slot, for memory or for a slow server.
    Given model servers with 8 slots and 10000 tokens of memory that read 40 tokens a ms
    And prompts run for 3200 ms
    When the servers have <servers>
    Then a prompt of rank 0 is expected to wait <urgent> ms and one of rank 2 <other> ms

    Examples:
      | servers                                  | urgent | other |
      | nothing at all                           | 0      | 0     |
      | 40000/8/0/0/1, 0/7/0/0/1                 | 0      | 0     |
      | 0/3/2000/9000/1                          | 0      | 0     |
      | 40000/3/0/0/1, 8000/3/0/0/1              | 200    | 200   |
      | 12000/3/0/0/1, 8000/3/0/0/2              | 300    | 300   |
      | 0/8/0/0/1                                | 400    | 400   |
      | 0/10/0/0/1                               | 1200   | 1200  |
      | 4000/3/2000/9000/1                       | 100    | 1493  |
      | 4000/3/2000/6000/1                       | 100    | 213   |

  Scenario: Requests that give way wait for model servers like others of their rank
    # A model server is not told which requests give way; a longer wait would refuse them for nothing.
    Given model servers with 8 slots and 10000 tokens of memory that read 40 tokens a ms
    And prompts run for 3200 ms
    When the servers have 4000/3/2000/9000/1
    Then prompts that give way are expected to wait as long as others of their rank

  Scenario: A slot's wait counts only once it is known how long prompts run
    Given model servers with 8 slots and 10000 tokens of memory that read 40 tokens a ms
    And prompts run for 0 ms
    When the servers have 0/10/0/0/1
    Then a prompt of rank 0 is expected to wait 0 ms and one of rank 2 0 ms

  Scenario: The placement coordinator counts the memory of running prompts until they end
    # Without it, the memory of ended prompts or of dead servers would keep new requests out for ever.
    Given a placement coordinator of one model server
    When prompts of ranks 0 and 2 with 3000 tokens and 500 to generate are placed
    Then the server holds 3500 tokens of rank 0 and 3500 of rank 2
    When the prompt of rank 2 is read after 300 ms and ends after 2000 ms
    Then the server holds 3500 tokens of rank 0 and 0 of rank 2
    And prompts are known to run for 2000 ms
    When the prompt of rank 0 ends after 9000 ms without having been read
    Then the server holds 0 tokens of rank 0 and 0 of rank 2
    And prompts are known to run for 2000 ms

  Scenario: Tokens that are cached already do not count again
    Given a placement coordinator of one model server
    When two prompts that share all but 200 of their 1000 tokens are placed, with 50 to generate
    Then the server holds 1300 tokens of rank 0 and 0 of rank 2

  Scenario: Requests without a prompt need no memory
    # The failure: their ends were counted against a server without counted tokens, which broke the
    # link that they were reported over.
    Given a placement coordinator of one model server
    When 2 requests without a prompt are placed, and both end
    Then the server holds 0 tokens of rank 0 and 0 of rank 2

  Scenario Outline: An old report says nothing about the model servers
    # The failure: the coordinator died in an overload, and others refused requests for its last word.
    Given another instance announced a wait of 700 ms for model servers
    When <ms> ms have passed since
    Then the expected wait for a model server is <wait> ms

    Examples:
      | ms   | wait |
      | 0    | 700  |
      | 900  | 700  |
      | 1001 | 0    |

  @forwarding
  Scenario: The coordinator of the prompts announces their backlog to all instances
    Given a forwarding fleet of instances a-1, a-2, b-1
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And model servers read 1 tokens a millisecond
    When every instance is sent 6 prompts, and 600 ms pass
    Then every instance expects a prompt of rank 1 to wait at least 1000 ms
    And their information is at most 350 ms old
    And the coordinator reports this wait as a metric, and in at most 1 line a second

  @forwarding
  Scenario: Only the coordinator announces a backlog, and only while it places prompts
    # Beacons are sent to every instance of a fleet, so their size matters where nothing has changed.
    Given a forwarding fleet of instances a-1, a-2, b-1
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    Then no beacon announces model servers
    When every instance is sent 2 prompts, and 600 ms pass
    Then only the beacons of the prompts' coordinator announce model servers
    When 6000 ms go by
    Then no beacon announces model servers

  @forwarding
  Scenario: With admit_pipeline off nothing is announced and nothing expected
    Given admit_pipeline is off
    And a forwarding fleet of instances a-1, a-2, b-1
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And model servers read 1 tokens a millisecond
    When every instance is sent 6 prompts, and 600 ms pass
    Then no beacon announces model servers
    And no instance expects a wait for model servers or knows the patience of callers

  @forwarding
  Scenario: An instance that is cut off uses the backlog of what it placed itself
    Given a forwarding fleet of instances a-1, a-2, b-1
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And model servers read 1 tokens a millisecond
    When the other instances are cut off from the prompts' coordinator, which is sent 6 prompts
    Then the others expect no wait of it
    When one that is cut off is sent 6 prompts, and 200 ms pass
    Then it expects a prompt of rank 1 to wait at least 400 ms by what it placed itself

  Scenario Outline: Only servers that may be chosen count
    # The failure: a server that has crashed has nothing to read, so nothing was expected to wait.
    Given two model servers of which the first has 8000 and the second 40000 tokens to read
    When the first of them <state>
    Then a prompt is expected to wait <ms> ms

    Examples:
      | state                              | ms   |
      | is available                       | 200  |
      | is not listed any more             | 1000 |
      | has tripped its circuit breaker    | 1000 |
      | is cold and was sent enough        | 1000 |
      | takes its next request in 500 ms   | 1000 |

  Scenario: An instance that placed prompts for itself does not announce them as the coordinator
    # The failure: others took its few prompts for the whole backlog.
    Given a placement coordinator of one model server
    When prompts of ranks 0 and 2 with 3000 tokens and 500 to generate are placed
    Then their backlog is announced only while no other instance is the coordinator

  Scenario Outline: Waits for model servers count like waits for stages
    # The failure: only the backlog of stages decided, and requests waited at model servers instead.
    Given a route with a latency target of 1700 ms and a deadline of 10000 ms
    And prompts of 17000 tokens on average, the largest tenth of them over 30000
    And its route has learnt a factor of 1.25
    And its model servers are expected to keep prompts waiting for <model> ms
    When a request of <tokens> tokens arrives while its stages wait <stage> ms
    Then it is <outcome>

    Examples:
      | model | tokens | stage | outcome                      |
      | 0     | 17000  | 0     | admitted                     |
      | 90    | 70000  | 0     | admitted                     |
      | 300   | 8000   | 0     | admitted                     |
      | 1200  | 8000   | 0     | admitted behind the others   |
      | 800   | 8000   | 800   | admitted behind the others   |
      | 6000  | 17000  | 0     | refused with a time to retry |

  @forwarding
  Scenario: A request is refused at once for its model servers, and the line says so
    Given a forwarding fleet of instances a-1, a-2, b-1
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And stage servers enc-1, enc-2 of service enc
    And model servers are expected to keep prompts waiting for 2500 ms
    When staged request r is sent to a-1
    Then request r is refused at once without having run
    And line request-refused names a wait of 2500 ms for model servers and the reason "deadline"
    And 1 requests count as refused_by_model_wait and 0 as refused_by_patience

  Scenario Outline: The patience of a route's callers
    Then callers of a <kind> route with a target of <target> ms, pauses of <gap> ms and a timeout of 9000 ms wait <ms> ms

    Examples:
      | kind   | target | gap | ms   |
      | stream | 400    | 100 | 2000 |
      | stream | 1135   | 200 | 4540 |
      | stream | 700    | 500 | 4000 |
      | safe   | 400    | 100 | 9000 |

  Scenario Outline: A request that its caller would not wait for is refused
    # The failure: such requests were admitted up to their deadline, and their callers left before.
    Given a route with a latency target of 1700 ms and a deadline of 20000 ms
    And prompts of 17000 tokens on average, the largest tenth of them over 30000
    And its route has learnt a factor of 1.25
    And the patience of callers <counts>
    When a request of <tokens> tokens arrives while its stages wait 0 ms
    Then it is <outcome>

    Examples:
      | counts         | tokens | outcome                      |
      | counts         | 300000 | admitted                     |
      | counts         | 340000 | refused with a time to retry |
      | does not count | 340000 | admitted                     |

  Scenario Outline: A retry that can still be answered is admitted behind requests that can be on time
    Given a route with a latency target of 1700 ms and a deadline of 10000 ms
    And prompts of 17000 tokens on average, the largest tenth of them over 30000
    And its route has learnt a factor of 1.25
    And its model servers are expected to keep prompts waiting for <model> ms
    When a request of 8000 tokens with <left> ms left arrives as a retry
    Then it is <outcome>

    Examples:
      | model | left | outcome                      |
      | 300   | 8000 | admitted behind the others   |
      | 1200  | 8000 | admitted behind the others   |
      | 1200  | 2000 | refused with a time to retry |
