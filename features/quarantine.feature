@forwarding
Feature: Requests that crash the servers which run them
  # Guards against a request that crashes one server after another. One request crashed each model
  # server that started it, about 100 ms after it was sent, and one caller sent it again and again to
  # any instance. 13 servers crashed in 14 seconds, up to 5 of 12 were down at once, and each crash
  # broke the streams of other callers. No instance knew the request beyond one attempt on that
  # instance. No retry of an attempt that may have run was logged, so limits of attempts and of
  # retries did not apply.

  Background:
    Given a forwarding fleet of instances a-1, a-2, b-1
    And model servers llm-1 to llm-8, which restart under new ids 3000 ms after a crash
    And plain servers desk-1 to desk-4, which restart likewise

  Scenario: A request that crashes its servers is not sent to further ones by any instance
    When a deadly stream request comes 14 times every 800 ms, each time at the next instance
    Then at most 3 servers have crashed
    And the last 10 attempts are refused with code 2010 as not_run within 5 ms

  Scenario: A request that comes at several instances at once crashes few servers
    When a deadly stream request comes at every instance at once, 4 times every 1200 ms
    Then at most 4 servers have crashed
    And the last 6 attempts are refused with code 2010 as not_run within 5 ms

  Scenario: Peers go on refusing after the instance that announced the crash has crashed itself
    When a deadly stream request comes 2 times every 800 ms, each time at instance a-1
    And instance a-1 crashes 3 ms after the last server crash
    And a deadly stream request comes 3 times every 200 ms, each time at the next instance but a-1
    Then at most 2 servers have crashed
    And the last 3 attempts are refused with code 2010 as not_run within 5 ms

  Scenario: An instance without a link to the one that saw the crashes is updated by others
    Given instances a-1 and b-1 cannot reach each other
    When a deadly stream request comes 3 times every 800 ms, each time at instance a-1
    And a deadly stream request comes 1 times every 800 ms, each time at instance b-1
    Then at most 3 servers have crashed
    And the last 1 attempts are refused with code 2010 as not_run within 5 ms

  Scenario: Each side of a partition uses what it knows, and both know all once the partition ends
    Given data centres a and b cannot reach each other
    When a deadly stream request comes 3 times every 800 ms, each time at instance a-1
    And data centres a and b are connected again
    And 3000 ms go by
    And a deadly stream request comes 1 times every 800 ms, each time at instance b-1
    Then at most 3 servers have crashed
    And the last 1 attempts are refused with code 2010 as not_run within 5 ms

  Scenario Outline: A bar outlasts the loss of all instances
    Given the table of bars is <table> while servers crash
    When a deadly stream request comes 3 times every 800 ms, each time at the next instance
    And the table of bars is up again
    And 1500 ms go by
    And all instances are killed and restart
    And a deadly stream request comes 3 times every 200 ms, each time at the next instance
    Then at most 3 servers have crashed
    And the last 3 attempts are refused with code 2010 as not_run within 5 ms

    Examples:
      | table |
      | up    |
      | down  |

  Scenario: A bar is written by another instance where the one that decided it cannot write
    Given the instance that gets the request does not follow the store and cannot write bars
    When a deadly stream request comes 3 times every 800 ms, each time at that instance
    And all instances are killed and restart
    And a deadly stream request comes 3 times every 200 ms, each time at the next instance
    Then at most 3 servers have crashed
    And the last 3 attempts are refused with code 2010 as not_run within 5 ms

  Scenario: The suspicion of a request that crashed two servers outlasts the loss of all instances
    When all model servers but 7 crash while 20 plain stream requests are in flight
    And a deadly stream request comes 2 times every 800 ms, each time at the next instance
    And all instances are killed and restart
    And a deadly stream request comes 3 times every 200 ms, each time at the next instance
    Then at most 4 servers have crashed
    And the last 2 attempts are refused with code 2010 as not_run within 5 ms

  Scenario: A suspect that is cleared is dropped from the table
    When all model servers but 7 crash while 20 plain stream requests are in flight
    And a deadly stream request comes 2 times every 800 ms, each time at the next instance
    Then the table of bars holds its suspicion
    When the model is repaired
    And a deadly stream request comes 1 times every 800 ms, each time at the next instance
    Then the table of bars is empty

  Scenario: A bar that a store lacks after it was restored from a copy is written again
    Given a copy of the store is saved
    When a deadly stream request comes 3 times every 800 ms, each time at the next instance
    And 500 ms go by
    And the store is restored from the copy
    And 500 ms go by
    And all instances are killed and restart
    And a deadly stream request comes 3 times every 200 ms, each time at the next instance
    Then at most 3 servers have crashed
    And the last 3 attempts are refused with code 2010 as not_run within 5 ms

  Scenario Outline: A restored store gets the newest of what several instances have written to it
    # Guards against an instance that writes its older suspicion over the bar which came after it.
    Given a copy of the store is saved
    When <first> observes 2 crashes of servers under a slow request
    And <last> observes 1 crashes of servers under a slow request
    And 500 ms go by
    And the store is restored from the copy
    And 500 ms go by
    Then the table of bars holds a bar with 3 crashes

    Examples:
      | first | last |
      | a-1   | a-2  |
      | a-2   | a-1  |
      | a-1   | b-1  |
      | b-1   | a-1  |
      | a-2   | b-1  |
      | b-1   | a-2  |

  Scenario: A restored store does not get back what another instance has cleared
    Given a copy of the store is saved
    When a-1 observes 2 crashes of servers under a slow request
    And an operator clears it at b-1
    And 500 ms go by
    And the store is restored from the copy
    And 500 ms go by
    Then the table of bars is empty

  Scenario: Bars that come together are all written
    # Guards against a bar that stays unwritten until the next one comes, also when all are rewritten.
    When an instance has 3 bars to write at once
    Then the table of bars holds 3 within 200 ms

  Scenario: Rows of bars that expired long ago are dropped
    Given the table of bars holds one that expired 25 hours ago and one that is in force
    When all instances are killed and restart
    Then the table holds only the one that is in force

  Scenario: A bar costs the store few calls
    When a deadly stream request comes 14 times every 800 ms, each time at the next instance
    Then the table of bars was called at most 6 times

  Scenario Outline: Retries within the instance consult the quarantine as well
    Given every route allows 6 attempts
    And the instances have received requests before
    When a deadly <kind> request comes 3 times every 800 ms, each time at the next instance
    Then at most 3 servers have crashed
    And attempt d0 ends with code <code> as <class>

    Examples:
      | kind      | code | class  |
      | resumable | 3017 | failed |
      | safe      | 3017 | failed |

  Scenario Outline: A connection that breaks is not a server crash
    Given every model server has fault "<fault>"
    When a plain resumable request comes 14 times every 300 ms, each time at the next instance
    Then no request is suspect

    Examples:
      | fault  |
      | reset  |
      | cut    |
      | silent |

  Scenario: A server that exits while it drains makes no request suspect
    Given every model server is listed as draining
    When all model servers exit while a plain stream request is in flight
    Then no request is suspect

  Scenario: Where probes get no answer, the list of servers shows that one has crashed
    Given no connection to a crashed server is refused
    When a deadly stream request comes 3 times every 5000 ms, each time at the next instance
    And a deadly stream request comes 3 times every 200 ms, each time at the next instance
    Then at most 3 servers have crashed
    And the last 3 attempts are refused with code 2010 as not_run within 5 ms

  Scenario: A request that broke off at two silent servers is known after the loss of all instances
    # Guards against a loss of all instances before the list of servers shows the second crash.
    Given no connection to a crashed server is refused
    # Its connection breaks 60 ms after it was sent, so that all are killed 500 ms later.
    When a deadly stream request comes 2 times every 560 ms, each time at the next instance
    And all instances are killed and restart
    And a deadly stream request comes 6 times every 1000 ms, each time at the next instance
    Then at most 4 servers have crashed

  Scenario: Presumed crashes that the list of servers shows after a restart are stored as confirmed
    Given the table of bars holds one with presumed crashes of 2 unlisted servers 1 s ago
    When all instances are killed and restart
    Then the table of bars holds 2 confirmed crashes

  Scenario: Answers lost on live servers before the loss of all instances make no request suspect
    Given every model server has fault "reset"
    When a plain stream request comes every 300 ms until its answer was lost at 2 servers
    Then the table of bars holds only presumed crashes of 2 servers
    When all instances are killed and restart
    And 5000 ms go by
    Then no request is suspect
    And the table of bars is empty

  Scenario: A row with presumed crashes makes no request suspect before the list was checked
    Given the table of bars holds 3 presumed crashes of a plain request on listed servers
    When all instances are killed and restart
    Then no request is suspect
    When a plain stream request comes 3 times every 200 ms, each time at the next instance
    Then the last 3 attempts are served

  Scenario: Requests that broke off in one outage are not barred after a restart
    # Guards against crashes that look isolated since those of the other rows are not known yet.
    Given the table of bars holds 2 requests with fast presumed crashes, each of 2 other servers
    When all instances are killed and restart
    Then both requests are suspect, and neither is barred

  Scenario: Servers whose entries may reappear after an outage of the store do not count as crashed
    # Guards against live servers that count as crashed before they have written their entries.
    Given presumed crashes of 2 unlisted servers are read right after an outage of the store
    When 1500 ms go by
    Then no request is suspect
    When 1000 ms go by
    Then the table of bars holds 2 confirmed crashes

  Scenario: A row with presumed crashes that is too old to be checked is dropped
    # Guards against a row left by a crashed instance, whose servers were restarted since.
    Given the table of bars holds one with presumed crashes of 2 unlisted servers 61 s ago
    When all instances are killed and restart
    Then no request is suspect
    And the table of bars is empty

  Scenario: A single broken connection is not written to the table
    Given every model server has fault "reset"
    When a plain stream request comes 1 times every 800 ms, each time at the next instance
    Then the table of bars was written at most 0 times

  Scenario: The connections of one request are written once in 5 s, and deleted
    Given every model server has fault "reset"
    When a plain stream request comes 14 times every 300 ms, each time at the next instance
    Then the table of bars was written at most 1 times
    And the table of bars holds only presumed crashes of 2 servers
    When 5500 ms go by
    Then the table of bars is empty

  Scenario Outline: The row with presumed crashes of a request is deleted once it is answered
    Given every model server has fault "reset"
    When a plain stream request comes every 300 ms until its answer was lost at 2 servers
    Then the table of bars holds only presumed crashes of 2 servers
    When no model server has a fault
    And a plain stream request comes 1 times every 100 ms, each time at instance <name>
    Then the last 1 attempts are served
    And the table of bars is empty

    Examples:
      | name |
      | a-1  |
      | a-2  |
      | b-1  |

  Scenario: A row with presumed crashes is replaced once the list of servers shows the crashes
    Given no connection to a crashed server is refused
    When a deadly stream request comes 2 times every 800 ms, each time at the next instance
    Then the table of bars holds only presumed crashes of 2 servers
    When 5500 ms go by
    Then the table of bars holds 2 confirmed crashes

  Scenario: Crashes that two instances find out at the same time replace the presumed ones
    # Guards against a row that stays presumed since neither instance saw the second crash alone.
    When all model servers but 7 crash while 20 plain stream requests are in flight
    And a request breaks off at 2 servers, each time at the next instance
    And all instances find at the same time that neither server is listed any more
    And 5500 ms go by
    Then the table of bars holds 2 confirmed crashes

  Scenario Outline: Lost answers of a request that was answered a short time ago are not written
    When a plain stream request comes 1 times every 200 ms, each time at instance <name>
    Then the last 1 attempts are served
    Given every model server has fault "reset"
    When a plain stream request comes 6 times every 300 ms, each time at instance <name>
    Then the table of bars was written at most 0 times

    Examples:
      | name |
      | a-1  |
      | a-2  |
      | b-1  |

  Scenario: An outage that breaks off many requests has a bounded number of rows written
    # Guards against a queue of presumed rows that delays the writing of bars.
    When 200 requests break off at 2 servers, at the coordinator
    Then the table of bars was written at most 64 times
    And the table of bars was written at least 64 times

  Scenario Outline: An answer between two broken connections is reported to the coordinator
    # Guards against an instance that does not remember which broken connections it reported.
    Given every model server has fault "reset"
    When a plain stream request comes 1 times every 100 ms, each time at instance <name>
    And no model server has a fault
    And a plain stream request comes 1 times every 100 ms, each time at instance <name>
    Then the last 1 attempts are served
    And no instance remembers a broken connection

    Examples:
      | name |
      | a-1  |
      | a-2  |
      | b-1  |

  Scenario: A request that comes again after its server crashed is served
    When all model servers but 2 crash while 20 plain stream requests are in flight
    And the same 20 requests come again
    Then all 20 are served
    And no request is suspect

  Scenario: A thousand requests, many of them identical, on servers that crash on their own
    When a server crashes every 1000 ms while 1000 requests come, 300 of them identical
    Then no request is barred
    And over 800 of them are served

  Scenario: Copies of a popular request are served while one of its servers crashes
    When 12 plain stream requests with one body are in flight and one of their servers crashes
    And 12 plain stream requests with the same body come at once
    Then all 12 are served within 700 ms

  Scenario: A bar expires, and one copy is tried
    Given a deadly stream request was barred
    And its bar has expired
    When the model is repaired
    And a deadly stream request comes at every instance at once, 1 times every 2000 ms
    Then the last 3 attempts are served
    And no request is suspect
    And the table of bars is empty

  Scenario: A request that crashes a server again after its bar is barred for longer
    Given a deadly stream request was barred
    And its bar has expired
    When a deadly stream request comes at every instance at once, 1 times every 2000 ms
    Then one more server has crashed
    And it is barred for 3600 s everywhere

  Scenario: An operator clears a request at one instance, and all apply it
    Given a deadly stream request was barred
    When the model is repaired
    And an operator clears it at a-2
    And a deadly stream request comes 3 times every 200 ms, each time at the next instance
    Then the last 3 attempts are served
    And the table of bars is empty

  Scenario: A request that is barred again after it was cleared is stored again
    Given a deadly stream request was barred
    And all instances were killed and have restarted
    When an operator clears it at a-2
    Then the table of bars is empty
    When a deadly stream request comes 3 times every 800 ms, each time at the next instance
    Then the table of bars holds its suspicion

  Scenario: The quarantine is bounded, and evicts bars last
    Given a deadly stream request was barred
    When 1500 other requests become suspect at a-1
    Then the quarantine of a-1 holds 1024 entries, the bar among them
    And 477 evictions are counted there

  Scenario: An instance that starts late gets all suspicions
    Given a deadly stream request was barred
    When instance b-2 starts
    And a deadly stream request comes 1 times every 200 ms, each time at instance b-2
    Then the last 1 attempts are refused with code 2010 as not_run within 5 ms

  Scenario: A server that has crashed is out of use at all instances at once
    When a deadly stream request comes 1 times every 100 ms, each time at instance a-1
    Then no instance would use the crashed server

  Scenario: Pieces that crash their servers are not batched with those of other requests
    Given stage servers enc-1 to enc-4, which restart likewise
    And a reserve of 200 retries
    When a request with deadly pieces comes 6 times every 1500 ms, each time among 11 others
    Then at most 3 servers have crashed
    And the call that crashed the last server held no pieces of other requests
    And all other requests are served
    And the last 2 attempts are refused with code 2010 as not_run within 5 ms

  Scenario: Pieces of a stage server that crashes on its own are batched again
    Given stage servers enc-1 to enc-2, which restart likewise
    When 8 requests with stages are in flight and their stage server crashes
    Then all 8 are served
    And their pieces took at most 5 calls

