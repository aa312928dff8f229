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
