Feature: A stream is whole, in order and of one run, or visibly broken off
  # Only a resumable stream goes on with another run, and only behind the last event that was passed
  # on. Events are written as their ids; "." is an event with data and no id, ":" a comment, "r" the
  # field retry, "v" before an id the first line that names another version of the weights. The runs
  # of several servers are separated by "/".

  # Guards against an event that comes twice, or a number that goes back, when the server that goes
  # on ignores Last-Event-Id or sends events again.
  @forwarding
  Scenario Outline: A server that sends events again is not joined
    Given two instances and the servers of each kind of request
    And the servers send <sent>, each broken off but the last
    When instance a-1 gets a resumable request r
    Then the caller gets <got>, and the answer is <end>

    Examples:
      | sent                | got           | end        |
      | 1,2,3/4,5,6         | 1,2,3/4,5,6   | complete   |
      | 1,2,3/1,2,3,4,5,6   | 1,2,3         | broken off |
      | 1,2,3/3,4,5,6       | 1,2,3         | broken off |
      | 1,2,3/4,5,5,6       | 1,2,3/4,5     | broken off |
      | 1,2,3/4,3,5,6       | 1,2,3/4       | broken off |
      | 1,2,9/10,11         | 1,2,9/10,11   | complete   |
      | 1,5,9/12,20         | 1,5,9/12,20   | complete   |
      | 9,10/9,10,11        | 9,10          | broken off |
      | 01,02/03,04         | 01,02/03,04   | complete   |
      | 1,v2,3/v4,5         | 1,v2,3/v4,5   | complete   |

  # Guards against an event that comes twice within the answer of one server.
  @forwarding
  Scenario Outline: A server whose ids do not rise is malformed from there on
    Given two instances and the servers of each kind of request
    And the servers send <sent>, whole
    When instance a-1 gets a <kind> request r
    Then the caller gets <got>, and the answer is <end>

    Examples:
      | kind      | sent          | got         | end        |
      | stream    | 1,2,3         | 1,2,3       | complete   |
      | stream    | 1,2,4         | 1,2,4       | complete   |
      | stream    | 1,2,2,3       | 1,2         | broken off |
      | stream    | 1,2,1,2,3     | 1,2         | broken off |
      | stream    | a,b,b         | a,b         | broken off |
      | stream    | a,c,b         | a,c,b       | complete   |
      | stream    | .,.,.         | .,.,.       | complete   |
      | resumable | 1,2,1,2,3/3,4 | 1,2/3,4     | complete   |

  # Guards against events that are sent again since their last id does not name them.
  @forwarding
  Scenario Outline: A stream whose last event cannot be named is not joined
    Given two instances and the servers of each kind of request
    And the servers send <sent>, each broken off but the last
    When instance a-1 gets a resumable request r
    Then the caller gets <got>, and the answer is <end>

    Examples:
      | sent              | got           | end        |
      | .,./.,.,.         | .,.           | broken off |
      | 1,2,./3,4         | 1,2,.         | broken off |
      | 1,.,3/4,5         | 1,.,3/4,5     | complete   |
      | a,b/c,d           | a,b           | broken off |
      | 1,2,:/3,4         | 1,2,:/3,4     | complete   |
      | r,1,2/3,4         | r,1,2/3,4     | complete   |
      | :/1,2             | :/1,2         | complete   |
      | 1,2,e/1,2,3       | 1,2,e         | broken off |

  # Guards against a second server that is joined while the first one is silent, although the last
  # event cannot be named.
  @forwarding
  Scenario Outline: No second attempt is made where it could not be joined
    Given two instances and the servers of each kind of request
    And the first server of the resumable request is silent for 1500 ms from 75 ms on
    And the servers send <sent>, whole
    When instance a-1 gets a resumable request r
    Then the caller gets <got>, and the answer is complete

    Examples:
      | sent                  | got           |
      | .,.,.,./.,.,.,.       | .,.,.,.       |
      | 1,2,3,4/1,2,3,4       | 1,2,3,4       |
      | 1,2,.,4,5/3,4,5       | 1,2,.,4,5     |

  # Guards against a stream of two runs on a route that does not allow it.
  @forwarding
  Scenario Outline: A stream that may not be resumed is never joined
    Given two instances and the servers of each kind of request
    And the servers send <sent>, each broken off but the last
    When instance a-1 gets a <kind> request r
    Then the caller gets <got>, and the answer is broken off

    Examples:
      | kind   | sent          | got   |
      | stream | 1,2,3/4,5,6   | 1,2,3 |
      | staged | 1,2,3/4,5,6   | 1,2,3 |
      | stream | 1,2,3/1,2,3   | 1,2,3 |

  # Guards against events of another run, or twice, in a stream that continues from a copy.
  @forwarding
  Scenario Outline: A server with the copy that sends events again is not joined
    Given a fleet whose model servers keep copies
    And server llm-2 runs it first
    And the servers send <sent>, each broken off but the last
    When a narration r is sent to a-1
    Then the caller gets <got>, and the answer is <end>

    Examples:
      | sent          | got         | end        |
      | 1,2,3/4,5,6   | 1,2,3/4,5,6 | complete   |
      | 1,2,3/1,2,3,4 | 1,2,3       | broken off |
      | 1,2,3/3,4     | 1,2,3       | broken off |
      | .,./.,.,.     | .,.         | broken off |

  # Guards against two answers of one stream that change each other, when its caller resumes it while
  # the first instance still sends.
  @forwarding
  Scenario: A caller resumes a stream at one instance while another one still sends
    Given two instances and the servers of each kind of request
    When a caller of a resumable request at a-1 resumes it at another instance after event 2
    Then the first answer has events 1 to 6, and the second one 3 to 6

  # Guards against a caller that gets events twice when it resumes a stream itself.
  @forwarding
  Scenario Outline: A caller that resumes a stream gets only later events
    Given two instances and the servers of each kind of request
    And the servers send <sent>, whole
    When instance a-1 gets a resumable request r after event <last>
    Then the caller gets <got>, and the answer is <end>

    Examples:
      | last | sent            | got   | end        |
      | 2    | 3,4             | 3,4   | complete   |
      | 2    | 1,2,3,4/1,2,3,4 |       | refused    |
      | 2    | 1,2,3,4/3,4     | /3,4  | complete   |
      | 2    | 2,3,4/2,3       |       | refused    |
      | 6    |                 |       | complete   |

  # Guards against a stream that is ended as complete by a server that crashes before its first event.
  @forwarding
  Scenario: An answer without events that ends with its connection is not the rest of a stream
    Given two instances and the servers of each kind of request
    And the servers send , without length or chunks
    When instance a-1 gets a resumable request r after event 2
    Then the caller gets , and the answer is refused

  # Guards against a stream whose only missing part was its end: its caller had all events, and was
  # told that it had not, each time it resumed.
  @forwarding
  Scenario Outline: A stream that broke after its last event ends as complete
    Given two instances and the servers of each kind of request
    And the servers send <sent>, each broken off but the last
    When instance a-1 gets a resumable request r
    Then the caller gets <got>, and the answer is complete

    Examples:
      | sent      | got   |
      | 1,2,3/    | 1,2,3 |

  # Guards against a stream that is ended as complete although a server has said nothing of it.
  @forwarding
  Scenario Outline: An answer without a first event does not end a new stream
    Given two instances and the servers of each kind of request
    And the servers send <sent>, whole
    When instance a-1 gets a <kind> request r
    Then the caller gets <got>, and the answer is <end>

    Examples:
      | kind      | sent   | got | end      |
      | stream    | /      |     | refused  |
      | resumable | /1,2   | /1,2 | complete |

  # Guards against a stream that is ended as complete when its server crashes between two events of
  # an answer that has neither a length nor chunks: its end looks the same.
  @forwarding
  Scenario Outline: An answer that ends with its connection as its server crashes is broken off
    Given two instances and the servers of each kind of request
    And the servers send <sent>, without length or chunks, and the first one crashes at its end
    When instance a-1 gets a <kind> request r
    Then the caller gets <got>, and the answer is <end>

    Examples:
      | kind      | sent        | got         | end        |
      | resumable | 1,2,3/4,5,6 | 1,2,3/4,5,6 | complete   |
      | stream    | 1,2,3/4,5,6 | 1,2,3       | broken off |

  # Guards against whole answers that are broken off since their server ends behind its last one.
  @forwarding
  Scenario Outline: An answer that ends with its connection at a server that leaves is complete
    Given two instances and the servers of each kind of request
    And the first server begins to drain
    And the servers send 1,2,3, without length or chunks, and the first one crashes at its end
    When instance a-1 gets a <kind> request r
    Then the caller gets 1,2,3, and the answer is complete

    Examples:
      | kind      |
      | resumable |
      | stream    |

  # Guards against a last chunk that claims that a stream is whole: it began in chunks, and goes on at
  # a server whose answer ends with its connection.
  @forwarding
  Scenario Outline: A stream whose end is not known is not ended by a last chunk
    Given two instances and the servers of each kind of request
    And the servers send <sent>, the first one breaks off, others give no length or chunks
    When instance a-1 gets a resumable request r
    Then the caller gets <got>, and the answer is broken off

    Examples:
      | sent        | got         |
      | 1,2,3/4,5,6 | 1,2,3/4,5,6 |
      | 1,2,3/      | 1,2,3       |

  # Guards against whole answers that are broken off for it.
  @forwarding
  Scenario Outline: An answer that ends with its connection at a server that lives is complete
    Given two instances and the servers of each kind of request
    And the servers send 1,2,3, without length or chunks
    When instance a-1 gets a <kind> request r
    Then the caller gets 1,2,3, and the answer is complete

    Examples:
      | kind      |
      | resumable |
      | stream    |

  # Guards against events that are passed on joined, cut, or not at all, however the bytes come.
  Scenario Outline: Events are split at their ends however they come
    Given the events <events> with line ends <line ends>
    When they come in pieces of <size> bytes
    Then each is given out whole, and the last id is <last>

    Examples:
      | events    | line ends | size | last |
      | 1,2,3     | LF        | 1    | 3    |
      | 1,2,3     | LF        | 7    | 3    |
      | 1,:,r,2   | LF        | 1    | 2    |
      | v1,2,v3   | LF        | 5    | 3    |
      | 1,2,3     | CRLF      | 1    | 3    |
      | 1,2,3     | CRLF      | 7    | 3    |
      | v1,:,r,2  | CRLF      | 3    | 2    |
      | 1,2,3     | CRLF      | 4096 | 3    |

  # Guards against a stream that is ended as complete though bytes of it are missing.
  Scenario Outline: A body of a backend server that lacks bytes is never complete
    Given a backend server that sends the events 1,2,3 <how>
    When a request with a limit of 2000 ms is sent to it
    Then it ends with code 3003 within 1000 ms

    Examples:
      | how                                                       |
      | in chunks, and closes between two events                  |
      | in chunks, and closes within an event                     |
      | in chunks, and closes before the last chunk               |
      | in chunks, and closes within a chunk size                 |
      | in chunks with padded sizes, and closes within a size     |
      | in chunks, and closes behind the digit of the last chunk  |
      | in chunks, and resets between two events                  |
      | with a length, and closes between two events              |
      | with a length, and closes within an event                 |
      | without a length, and resets between two events           |
      | without a length, and resets within an event              |

  # Guards against late bytes of another answer that are passed on as events of this one.
  Scenario Outline: A late extra answer is never part of the next stream
    Given a backend server that sends an extra answer <when> behind each stream
    When streams r1 and r2 are sent to it
    Then stream r1 is whole
    And stream r2 is whole, or ends with code 3010

    Examples:
      | when             |
      | at once          |
      | 20 ms            |

  # Guards against callers to whom a stream seems complete when its instance is killed before the
  # end. A caller or its balancer that speaks HTTP/1.0 gets no chunks.
  Scenario Outline: A caller sees that a stream is incomplete when its instance is killed
    Given an instance in a process of its own that streams three events and then <then>
    When a caller of HTTP/<version> has them, and the process is killed
    Then it sees that the answer is <end>

    Examples:
      | version | then         | end        |
      | 1.1     | goes on      | broken off |
      | 1.0     | goes on      | broken off |

  # Guards against whole answers that look broken off.
  Scenario Outline: A caller sees that a stream is complete
    Given an instance in a process of its own that streams three events and then <then>
    When a caller of HTTP/<version> reads the answer to its end
    Then it sees that the answer is <end>

    Examples:
      | version | then         | end        |
      | 1.1     | ends         | complete   |
      | 1.0     | ends         | complete   |
      | 1.1     | breaks off   | broken off |
      | 1.0     | breaks off   | broken off |
