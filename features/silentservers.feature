Feature: Requests whose server is silent for a moment
  # A sound server may accept connections and requests, answer nothing for a second or so, and then
  # go on where it was.

  # Guards against an answer that is given up for the silence of its server when the request may not
  # be sent elsewhere, or not successfully: its caller gets a cut answer, or a 502.
  @forwarding
  Scenario Outline: An attempt is kept while its server is silent and no other one can answer
    Given two instances and the servers of each kind of request
    And the first server of the <kind> request is silent for <ms> ms from <from> ms on
    And <obstacle>
    When instance a-1 gets a <kind> request r
    Then request r is answered whole by the first server
    And it was logged and counted at a-1 why the attempt was kept
    And no server works on request r any more

    Examples: Streams, in a pause between events and before the first one
      | kind      | from | ms   | obstacle                                        |
      | resumable | 75   | 1500 | the retry budget is spent                       |
      | resumable | 5    | 1500 | the retry budget is spent                       |
      | resumable | 75   | 1500 | every other server is full                      |
      | resumable | 5    | 1500 | every other server is full                      |
      | resumable | 75   | 1500 | every other server cannot be reached            |
      | resumable | 5    | 1500 | every other server cannot be reached            |
      | resumable | 75   | 1500 | every other server breaks connections           |
      | resumable | 5    | 1500 | every other server breaks connections           |
      | resumable | 75   | 1500 | every other server is draining                  |
      | resumable | 75   | 1500 | every other server runs another version         |
      | resumable | 75   | 1500 | every other server is silent for longer         |
      | resumable | 5    | 1500 | every other server is silent for longer         |
      | resumable | 75   | 1500 | the request may reach one server only           |
      | lasting   | 400  | 1500 | the retry budget is spent                       |
      | lasting   | 475  | 1500 | the retry budget is spent                       |

    Examples: Whole answers
      | kind      | from | ms   | obstacle                                        |
      | safe      | 5    | 1200 | the retry budget is spent                       |
      | safe      | 5    | 1200 | every other server is full                      |
      | safe      | 5    | 1200 | every other server cannot be reached            |
      | safe      | 5    | 1200 | every other server breaks connections           |
      | safe      | 5    | 1200 | every other server answers with an error        |
      | safe      | 5    | 1200 | every other server is silent for longer         |
      | unsafe    | 5    | 1200 | nothing else happens                            |
      | stream    | 75   | 1500 | nothing else happens                            |
      | stream    | 5    | 1500 | nothing else happens                            |

  # Guards against callers that wait for a silent server although another one can answer.
  @forwarding
  Scenario Outline: Another server answers while the first one stays silent
    Given two instances and the servers of each kind of request
    And the first server of the <kind> request is silent for 9000 ms from <from> ms on
    When instance a-1 gets a <kind> request r
    Then request r is answered whole by two servers within <ms> ms
    And no server works on request r any more

    Examples:
      | kind      | from | ms   |
      | resumable | 75   | 1300 |
      | resumable | 5    | 800  |
      | lasting   | 475  | 2000 |
      | safe      | 5    | 600  |

  # Guards against events that come twice or out of order when both servers go on.
  @forwarding
  Scenario Outline: The server that is heard of first answers, and the other one is cancelled
    Given two instances and the servers of each kind of request
    And the first server of the <kind> request is silent for <ms> ms from <from> ms on
    When instance a-1 gets a <kind> request r
    Then request r is answered whole by the first server
    And two servers were sent request r
    And no server works on request r any more

    Examples:
      | kind      | from | ms   |
      | resumable | 75   | 1010 |
      | resumable | 5    | 615  |
      | safe      | 5    | 380  |

  # Guards against work for callers that are gone.
  @forwarding
  Scenario Outline: A caller that leaves ends both attempts
    Given two instances and the servers of each kind of request
    And the first server of the <kind> request is silent for 9000 ms from <from> ms on
    And every other server is silent for longer
    When the caller of the <kind> request r to a-1 leaves after 1500 ms
    Then two servers were sent request r
    And no server works on request r any more

    Examples:
      | kind      | from |
      | resumable | 75   |
      | resumable | 5    |
      | safe      | 5    |

  # Guards against callers that are held for a server that is lost: it accepts no connections either.
  @forwarding
  Scenario Outline: A server that cannot be reached after a long silence is given up
    Given two instances and the servers of each kind of request
    And the first server of the <kind> request is silent for 9000 ms from <from> ms on
    And it cannot be reached meanwhile
    And the retry budget is spent
    When instance a-1 gets a <kind> request r
    Then request r ends between 2500 and 3600 ms after it was sent, with code 3005

    Examples:
      | kind      | from |
      | resumable | 75   |
      | resumable | 5    |

  # Guards against answers of second servers that the memory account does not know.
  @forwarding
  Scenario: The bytes of a second attempt are counted, and released with the request
    Given two instances and the servers of each kind of request
    And the first server of the safe request is silent for 9000 ms from 5 ms on
    When instance a-1 gets a safe request r whose bytes are counted
    Then a second holder of server bytes existed while the second server was asked
    And the bytes of the whole answer are counted for the caller alone

  # Guards against counters and connections of a first attempt that failed, left over when the caller
  # leaves while the second attempt is awaited.
  @forwarding
  Scenario Outline: A caller that leaves after the first server has failed ends both attempts
    Given two instances and the servers of each kind of request
    And the first server of the <kind> request is silent for <ms> ms from 5 ms on
    And it breaks the connection then
    And every other server is silent for longer
    When the caller of the <kind> request r to a-1 leaves after 1200 ms
    Then two servers were sent request r
    And no server works on request r any more

    Examples:
      | kind      | ms  |
      | resumable | 800 |
      | safe      | 500 |

  # Guards against a retry budget that is spent although no further server is sent the request.
  @forwarding
  Scenario Outline: Retries that are not made are not taken out of the budget
    Given two instances and the servers of each kind of request
    And the first server of the <kind> request is silent for 3500 ms from <from> ms on
    And every other server <state>
    When instance a-1 gets a <kind> request r
    Then request r is answered whole by the first server
    And 0 retries were taken out of the budget

    Examples:
      | kind      | from | state                |
      | resumable | 75   | is draining          |
      | resumable | 75   | runs another version |
      | safe      | 5    | is draining          |

  # Guards against a retry for each try to connect to servers that cannot be reached.
  @forwarding
  Scenario: One retry is taken out of the budget until a second server is reached
    Given two instances and the servers of each kind of request
    And a third server of each service
    And the first server of the resumable request is silent for 3500 ms from 75 ms on
    And every other server cannot be reached
    When instance a-1 gets a resumable request r
    Then request r is answered whole by the first server
    And 1 retries were taken out of the budget

  # Guards against callers that are held for a second server that is silent, too.
  @forwarding
  Scenario Outline: A third server answers while two are silent
    Given two instances and the servers of each kind of request
    And a third server of each service
    And each request may reach three servers
    And the first two servers of the <kind> request are silent for 9000 ms from <from> ms on
    When instance a-1 gets a <kind> request r
    Then request r is answered whole within 3500 ms

    Examples:
      | kind      | from |
      | resumable | 75   |
      | resumable | 5    |
      | safe      | 5    |
      | resumable | 55   |

  # Guards against results of stages that are kept to the end of a stream.
  @forwarding
  Scenario: The results of stages are released once a second server goes on with a stream
    Given two instances and the servers of each kind of request
    And the first two servers of the lasting request are silent for 3000 ms from 55 ms on
    When instance a-1 gets a lasting request r
    Then request r is answered whole within 5500 ms
    And the results of its stages were released 800 ms before the stream ended

  # Guards against results of stages that are kept for a second server that has failed.
  @forwarding
  Scenario: The results of stages are released once the first server goes on with a stream
    Given two instances and the servers of each kind of request
    And the first server of the lasting request is silent for 1500 ms from 475 ms on
    And it is silent again for 900 ms, 20 ms later
    And every other server breaks connections
    When instance a-1 gets a lasting request r
    Then request r is answered whole by the first server
    And the results of its stages were released 800 ms before the stream ended

  # Guards against counters of a second attempt that is answered in the moment of the first one: they
  # are never taken back, so that its server looks loaded from then on.
  @forwarding
  Scenario: Both servers answer in the same moment
    Given two instances and the servers of each kind of request
    And both servers of the request answer together after 700 ms
    When instance a-1 gets a safe request r
    Then request r is answered whole by the first server
    And no server works on request r any more

  # Guards against a stream that is cut, since events of the first server are passed on behind which the
  # second one has an answer of its own.
  @forwarding
  Scenario Outline: The versions of both servers are checked when the second one is answered first
    Given two instances and the servers of each kind of request
    And both servers of the request answer together after 700 ms
    And checking the version of the first server takes <first> ms, and of others <second> ms
    When instance a-1 gets a resumable request r
    Then request r is answered whole within 2000 ms
    And no server works on request r any more

    Examples:
      | first | second |
      | 100   | 50     |
      | 50    | 50     |
      | 50    | 100    |

  # Guards against a second attempt at a request whose answer is arriving: both servers work on it,
  # and the retry budget is spent.
  @forwarding
  Scenario: A whole answer that arrives in parts needs no second server
    Given two instances and the servers of each kind of request
    And the first server of the safe request sends its answer in parts for 900 ms
    When instance a-1 gets a safe request r
    Then request r is answered whole by the first server
    And one server was sent request r

  # Guards against a request that fails with a 502 as a call with its pieces is given up, although
  # the call would have been answered a moment later.
  @forwarding
  Scenario Outline: A call with pieces is kept while the stage servers are silent
    Given two instances and the servers of each kind of request
    And streams have a latency target of 2000 ms
    And the stage servers are silent for <ms> ms from <from> ms on
    And <obstacle>
    When instance a-1 gets a <kind> request r
    Then request r is answered whole by the first server
    And no call with pieces runs any more
    When 3000 ms go by
    Then no batcher holds a piece or a result

    Examples:
      | kind    | from | ms   | obstacle                                    |
      | staged  | 50   | 1500 | no piece may be sent again                  |
      | lasting | 50   | 1500 | no piece may be sent again                  |
      | staged  | 50   | 1500 | nothing stands in the way                   |
      | staged  | 50   | 3000 | no piece may be sent again                  |
      | staged  | 50   | 3000 | nothing stands in the way                   |
      | staged  | 50   | 1500 | no connection can be opened to them, either |

  # Guards against callers that wait for a silent stage server although another one can answer.
  @forwarding
  Scenario: Another stage server runs the pieces while the first one stays silent
    Given two instances and the servers of each kind of request
    And the first stage server is silent for 3000 ms from 50 ms on
    When instance a-1 gets a staged request r
    Then request r is answered whole by the first server
    And request r took at most 1000 ms
    When 6000 ms go by
    Then no batcher holds a piece or a result

  # Guards against callers that are held for stage servers that are lost.
  @forwarding
  Scenario: Stage servers that cannot be reached after a long silence are given up
    Given two instances and the servers of each kind of request
    And streams have a latency target of 2000 ms
    And the stage servers are silent for 9000 ms from 50 ms on
    And no connection can be opened to them, either
    And no piece may be sent again
    When instance a-1 gets a staged request r
    Then request r ends between 2500 and 3600 ms after it was sent, with code 3001
    And no call with pieces runs any more

  # Guards against calls for callers that are gone.
  @forwarding
  Scenario: A caller that leaves ends the calls with its pieces
    Given two instances and the servers of each kind of request
    And the stage servers are silent for 5000 ms from 50 ms on
    When the caller of the staged request r to a-1 leaves after 1500 ms
    And 500 ms go by
    Then no call with pieces runs any more

  # Guards against repeats beyond the retry budget: a refused request has arrived at its server, too.
  @forwarding
  Scenario Outline: Each arrival at a further server is taken out of the budget
    Given two instances and the servers of each kind of request
    And a third server of each service
    And the first server of the <kind> request is silent for 3500 ms from <from> ms on
    And every other server is full
    When instance a-1 gets a <kind> request r
    Then request r is answered whole by the first server
    And a retry was taken out of the budget for each further call

    Examples:
      | kind      | from |
      | resumable | 75   |
      | safe      | 5    |

  # Guards against a request that runs on more servers than its route allows: one that was sent it
  # and then cancelled counts.
  @forwarding
  Scenario: A server that is silent twice has the request sent to one other server
    Given two instances and the servers of each kind of request
    And a third server of each service
    And the first server of the resumable request is silent for 1010 ms from 75 ms on
    And it is silent again for 1500 ms, 15 ms later
    When instance a-1 gets a resumable request r
    Then request r is answered whole by the first server
    And two servers were sent request r

  # Guards against a run that is not counted, so that the request runs on more servers than its route
  # allows: the first server was heard of while the second one's broken connection was looked into.
  @forwarding
  Scenario: A second server that breaks its connection counts although the first one goes on
    Given two instances and the servers of each kind of request
    And a third server of each service
    And the first server of the resumable request is silent for 1045 ms from 75 ms on
    And it is silent again for 1500 ms, 15 ms later
    And every other server breaks connections
    And it takes 150 ms to find out whether a server refuses connections
    When instance a-1 gets a resumable request r
    Then request r is answered whole by the first server
    And two servers were sent request r

  # Guards against a caller that reads slowly being taken for a silent server.
  @forwarding
  Scenario: A caller that reads slowly needs no second server
    Given two instances and the servers of each kind of request
    When a caller of a-1 reads the resumable request r with pauses of 1200 ms
    Then request r is answered whole by the first server
    And one server was sent request r

  # Guards against an event that is put together from the bytes of two servers, or lost between them.
  @forwarding
  Scenario Outline: An event that is incomplete is sent whole by the second server
    Given two instances and the servers of each kind of request
    And the servers send their events in halves
    And the first server of the resumable request is silent for 9000 ms from <from> ms on
    When instance a-1 gets a resumable request r
    Then request r is answered whole by two servers within 1500 ms

    Examples:
      | from |
      | 55   |
      | 68   |
      | 78   |

  # Guards against an error that is passed on although the second server is about to answer.
  @forwarding
  Scenario Outline: An error of the first server is answered by the second one
    Given two instances and the servers of each kind of request
    And the first server of the <kind> request is silent for <ms> ms from 5 ms on
    And it answers with an error then
    And every other server is silent for longer
    When instance a-1 gets a <kind> request r
    Then request r is answered whole within 2500 ms
    And two servers were sent request r
    And no server works on request r any more

    Examples:
      | kind      | ms  |
      | safe      | 500 |
      | resumable | 800 |

  # Guards against a stream whose events come from servers of two versions.
  @forwarding
  Scenario: A stream goes on at the version of the second server that began it
    Given two instances and the servers of each kind of request
    And servers of another version than the first one's
    And each request may reach three servers
    And the first server of the resumable request is silent for 9000 ms from 5 ms on
    And the second server breaks the connection after its second event
    When instance a-1 gets a resumable request r
    Then request r is answered whole within 2000 ms
    And the second and third server run the same version

  # Guards against an instance that learns late that it reaches no server, since its attempts are kept.
  @forwarding
  Scenario: A silent server makes an instance check whether it reaches any server
    Given two instances and the servers of each kind of request
    And the retry budget is spent
    And instance a-1 loses all servers 5 ms after a request is sent
    When instance a-1 gets a safe request r
    Then instance a-1 knew within 1000 ms that it reaches no server

  # Guards against a 502 for a request that its server rejects as full, with most of its time left:
  # its stages have run, so that it cannot be refused any more, and no retry is allowed at the moment.
  @forwarding
  Scenario Outline: A rejected request whose stages have run waits for the retry budget
    Given two instances and the servers of each kind of request
    And streams have a latency target of 2000 ms
    And the model server that the <kind> request reaches first rejects it
    And the retry budget is spent until <ms> ms after that
    When instance a-1 gets a <kind> request r
    Then request r is answered whole within <most> ms

    Examples:
      | kind    | ms   | most |
      | staged  | 600  | 1300 |
      | lasting | 600  | 1300 |
      | staged  | 2500 | 3300 |

  @forwarding
  Scenario: A rejected request whose stages have run fails if the budget stays spent
    Given two instances and the servers of each kind of request
    And streams have a latency target of 2000 ms
    And the model server that the staged request reaches first rejects it
    And the retry budget is spent
    When instance a-1 gets a staged request r
    Then request r ends between 4000 and 5000 ms after it was sent, with code 3005
