Feature: Decisions of instances that others do not answer
  # An instance may be paused, killed or cut off, the store may be away for some machines or for some
  # tables, and what was last heard of them may be old. Each scenario is about one decision, which
  # must not take those that answer for all there are, nor the last news for the present state.

  @forwarding
  Scenario: A data centre that stays cut off stays out of use
    # The failure: instances forgot when they had last heard of a data centre, took that for no
    # silence, and sent requests there although it was still cut off.
    Given a forwarding fleet of instances a-1, a-2, b-1, b-2, c-1, c-2
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And 5 stage servers of service enc in each of data centres a, b, c
    And data centre a is cut off from the others
    When 60000 ms go by
    Then instances of data centre a use servers of data centre a only
    And instances of data centre b use no servers of data centre a
    When data centre a can be reached again
    And 3500 ms go by
    Then every instance uses servers of every data centre

  @forwarding
  Scenario: An instance that cannot read the list of instances spends no whole limit of a server
    # The failure: half of none are none, so that an instance that knew no others was certain to be
    # the coordinator, and spent as much as the coordinator of all others.
    Given a fleet of 8 instances in data centres a, b, c
    And 2 servers of each of the services desk, llm, enc in data centres a, b, c
    And the platform's list of instances cannot be read
    When instance a-new starts with no seed
    Then a-new serves, knows no others and may spend less than a tenth of a common limit

  @forwarding
  Scenario Outline: Coordinators <end> one after the other while servers are cold
    # The failure: each new coordinator counted only what it had sent itself, so that a cold server
    # got within one second what it takes in three.
    Given a fleet of 6 instances in data centres a, b, c whose cold servers take 6 requests a second
    And 2 servers of each of the services desk, llm, enc in data centres a, b, c
    When all llm servers restart cold, and 3 placement coordinators <end> every 300 ms while 120 stream requests a second come for 2500 ms
    Then no cold server got more than 14 requests within a second

    Examples:
      | end                |
      | crash              |
      | leave              |
      | stop being reached |

  @forwarding
  Scenario Outline: Coordinators <end> one after the other while servers limit their rate
    # The failure: each new coordinator begins with a full token bucket, whatever was sent before.
    Given a fleet of 8 instances in data centres a, b, c
    And 2 servers of each of the services desk, llm, enc in data centres a, b, c
    When all llm servers announce a limit of 1 a second, and 4 placement coordinators <end> every 500 ms while 60 stream requests a second come for 9000 ms
    Then no server got more than its limit allows

    Examples:
      | end                |
      | crash              |
      | leave              |
      | stop being reached |

  @forwarding
  Scenario: The reserve of retries is not spent by too few while the fleet grows
    # The failure: instances that were cut off divided the reserve by the instances that they knew,
    # and those that had started since divided it by all.
    Given all instances share a reserve of 100 retries
    And a fleet of 6 instances in data centres a, b, c
    And 2 servers of each of the services desk, llm, enc in data centres a, b, c
    And arrivals at servers are recorded
    And all servers refuse half of all requests
    And data centres b, c are cut off from data centre a and the store, and 12 more instances start in a
    When 60 safe requests a second come for 26000 ms while nothing else happens
    Then no service gets more than 0.2 retries for each request and 100 more in any 10000 ms

  @forwarding
  Scenario: The reserve of retries is not spent by too few while a large fleet grows
    # The failure: in a large fleet the list of instances is read every 20 s, and for the rest of
    # that time other data centres divide the reserve without those that have started.
    Given all instances share a reserve of 400 retries
    And a fleet of 15 instances in data centres a, b, c
    And 2 servers of each of the services desk, llm, enc in data centres a, b, c
    And arrivals at servers are recorded
    And all servers refuse half of all requests
    And 20500 ms have gone by
    And 30 more instances start in data centre a
    When 250 safe requests a second come for 12000 ms while nothing else happens
    Then no service gets more than 0.2 retries for each request and 400 more in any 10000 ms

  @forwarding
  Scenario Outline: The parts of <number> instances add up to the reserve while <what>
    # The failure: instances that could not know of new ones took larger parts than was left for
    # them, in the same window.
    Given a fleet of <number> instances in data centres a, b, c
    And 45000 ms have gone by
    When the parts of the reserve are watched for 100000 ms, and more instances start while <what>
    Then in any window the parts add up to the reserve at most
    And before more started and at the end each takes an equal part

    Examples:
      | number | what                                           |
      | 6      | they are cut off                               |
      | 6      | they are cut off for a moment, again and again |
      | 6      | they are cut off and restart                   |
      | 6      | they are cut off and all instances restart     |
      | 6      | data centre b cannot read the list             |
      | 6      | two have crashed                               |
      | 15     | they are cut off                               |
      | 15     | data centre b cannot read the list             |
      | 15     | one is cut off for a moment                    |

  @forwarding
  Scenario: The parts of a large fleet that starts at once add up to the reserve
    # The failure: the list was not complete yet when most instances read it, and they were told
    # only of those that were listed after their reader had read it.
    Given a fleet of 24 instances in data centres a, b, c
    When the parts of the reserve are watched for 60000 ms, and nothing else happens
    Then in any window the parts add up to the reserve at most
    And at the end each takes an equal part

  @forwarding
  Scenario: Readers of earlier builds do not tell when they have read the list of instances
    # Guards against instances that take themselves for cut off beside builds of before.
    Given a fleet of 15 instances in data centres a, b, c
    And no instance tells when it has read the list of instances
    When the parts of the reserve are watched for 90000 ms, and nothing else happens
    Then in any window the parts add up to the reserve at most
    And at the end each takes an equal part

  @forwarding
  Scenario: Presumed crashes are not decided by an old list of servers
    # The failure: while the list of servers could not be read, servers that had crashed counted as
    # alive, and the suspicion of the request that had crashed them was deleted.
    Given a forwarding fleet of instances a-1, a-2, b-1
    And model servers llm-1 to llm-8, which restart under new ids 3000 ms after a crash
    And plain servers desk-1 to desk-4, which restart likewise
    And the table of bars holds 2 presumed crashes of a plain request on listed servers
    When all instances are killed and restart
    And the list of servers cannot be read for 7000 ms, in which both servers are unlisted
    And 4000 ms go by
    Then the table of bars holds 2 confirmed crashes

  @forwarding
  Scenario Outline: Fragile <service> servers are not overfilled when <what>
    # The failure: a coordinator takes the servers for empty of what others have sent there.
    Given a fleet of 8 instances in data centres a, b, c
    And 2 servers of each of the services desk, llm, enc in data centres a, b, c
    And the <service> servers can reject 3 requests a second, take 1000 ms and have room for 12 requests
    When 64 <kind> requests a second come for 14000 ms, and after 5000 ms <what>
    Then the <service> servers crashed at most 2 times after 3000 ms

    Examples:
      | service | kind   | what                                        |
      | llm     | stream | three instances are cut off from the others |
      | llm     | stream | the service's coordinator crashes           |
      | llm     | stream | a data centre is cut off from the others    |
      | desk    | safe   | the service's coordinator crashes           |
      | desk    | safe   | a data centre is cut off from the others    |

  @forwarding
  Scenario: The last report of a coordinator that has crashed refuses no requests
    # The failure: requests are refused by a long wait that a coordinator announced before its end.
    Given a fleet of 6 instances in data centres a, b, c
    And 2 servers of each of the services desk, llm, enc in data centres a, b, c
    And the coordinator of enc announces a wait of 6000 ms and crashes
    When 2500 ms go by
    Then a staged request to each instance is answered

  Scenario: Engines that load a model and do not answer count as loading
    # The failure: only engines that answered were counted, so that further ones loaded as well, all
    # from the same weight store.
    Given 4 engines of data centre a that serve model old-model
    And the configuration asks for 4 replicas of new-model and 4 of old-model
    When reconcilers one run for 1000 ms
    And the engines that load do not answer any more
    And reconcilers one run for 4000 ms
    Then at most 2 downloads ran at once

  Scenario: Engines that were ordered to load and do not answer the order count as loading
    # The failure: an order that reached its engine, but was not answered, was not counted.
    Given 4 engines of data centre a that serve model old-model
    And the configuration asks for 4 replicas of new-model and 4 of old-model
    And the engines do not answer any more once they have an order
    When reconcilers one run for 4000 ms
    Then at most 2 downloads ran at once

  Scenario: An engine that answers again and does not load frees its place
    # Guards against engines that count as loading for as long as a load may take.
    Given 4 engines of data centre a that serve model old-model
    And the configuration asks for 4 replicas of new-model and 4 of old-model
    When reconcilers one run for 1000 ms
    And the engines that load do not answer any more
    And reconcilers one run for 4000 ms
    And all engines answer again
    And reconcilers one run for 10000 ms
    Then 4 engines serve new-model and 4 serve old-model
    And at most 2 downloads ran at once

  Scenario: Engines that have ended while they were loading do not hold up the others for good
    # Guards against places that engines keep which never answer again.
    Given 4 engines of data centre a that serve model old-model
    And the configuration asks for 4 replicas of new-model and 4 of old-model
    When reconcilers one run for 1000 ms
    And the engines that load do not answer any more
    And reconcilers one run for 590000 ms
    Then 2 engines were ordered to load
    When reconcilers one run for 30000 ms
    Then 4 engines were ordered to load

  Scenario: Engines that have left the configuration hold no places
    # Guards against places that engines keep which an operator has removed.
    Given 4 engines of data centre a that serve model old-model
    And the configuration asks for 4 replicas of new-model and 4 of old-model
    When reconcilers one run for 1000 ms
    And the engines that load do not answer any more
    And these engines are removed from the configuration
    And reconcilers one run for 4000 ms
    Then 4 engines were ordered to load
