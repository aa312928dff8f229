@platform
Feature: The adapter to the users' platform
  Scenario Outline: An answer of a backend server is matched with its request
    Given a backend server that answers "<answer>"
    When request r1 is sent to it
    Then it ends with <end>

    Examples:
      | answer                       | end                          |
      | whole                        | status 200 and body "hello"  |
      | chunked                      | status 200 and body "hello"  |
      | no length                    | status 200 and body "hello"  |
      | own failure                  | status 500 and body "broken" |
      | another id                   | code 3010, may have run      |
      | no id                        | code 3010, may have run      |
      | full, not run                | code 3014, not run           |
      | leaving, not run             | code 3008, not run           |
      | replaced                     | code 3015, not run           |
      | inputs gone, not run         | code 3016, not run           |
      | 503 without a mark           | code 3004, may have run      |
      | 429 without a mark           | code 3004, may have run      |
      | 408 without a mark           | code 3004, may have run      |
      | encoded                      | code 3004, may have run      |
      | shorter than its length      | code 3003, may have run      |
      | chunks cut                   | code 3003, may have run      |
      | garbage                      | code 3003, may have run      |
      | closed                       | code 3003, may have run      |
      | reset without length         | code 3003, may have run      |
      | silence                      | code 3011, may have run      |

  Scenario: A server that is not there was not sent anything
    Given a backend server that is not there
    When request r1 is sent to it
    Then it ends with code 3009, not run

  Scenario Outline: Which connections are used again
    Given a backend server that answers "<answer>"
    When requests r1 and r2 are sent to it
    Then they went over <connections> connections and both ended with status 200

    Examples:
      | answer            | connections |
      | whole             | 1           |
      | chunked           | 1           |
      | extra bytes at once | 1         |
      | extra bytes later | 2           |
      | whole and closing | 2           |
      | no length         | 2           |

  Scenario: Connections that wait are this instance's part of what a server accepts from all
    Given a backend server that answers "whole", of which 3 connections may be kept
    When 8 requests are sent to it at once
    Then 3 connections to it are kept

  Scenario: A request that must not be repeated does not go over an old connection
    Given a backend server that answers "whole"
    When request r1 is sent to it and unsafe request r2 1200 ms later
    Then they went over 2 connections and both ended with status 200

  Scenario: What a server is sent
    Given a backend server that answers "whole"
    When a caller's request with forged and private headers is sent to it
    Then the server got the request unchanged with the system's own headers in their place

  Scenario: A caller on a public route cannot claim a team
    Given a backend server that answers "whole"
    When a caller without a team claims one
    Then the server is told of no team

  Scenario: Pieces and their results
    Given a backend server that answers "results"
    When three pieces are sent to it
    Then their results are a handle, input gone and no room in this order

  Scenario Outline: What an answer says of its server's limit
    # One that refuses may be too short to name it, and one by another server tells nothing of this.
    Given a backend server that answers "<answer>"
    When <what> is sent to it
    Then <heard> is heard of its limit

    Examples:
      | answer                     | what        | heard          |
      | limited                    | request r1  | 1.5 a second   |
      | limited, own failure       | request r1  | 2.0 a second   |
      | limited, full              | request r1  | 0.3 a second   |
      | limited results            | a call      | 4.0 a second   |
      | limited results full       | a call      | 0.5 a second   |
      | whole                      | request r1  | no limit       |
      | results                    | a call      | no limit       |
      | full, not run              | request r1  | nothing        |
      | 503 without a mark         | request r1  | nothing        |
      | results full               | a call      | nothing        |
      | limited, replaced          | request r1  | nothing        |
      | limited, another id        | request r1  | nothing        |
      | limited in words           | request r1  | nothing        |
      | limited to less than none  | request r1  | nothing        |
      | limited to no number       | request r1  | nothing        |

  Scenario Outline: What an answer says of its server's leaving, and of the rest that it wants
    # An answer of another server, or to another request, tells nothing of this one.
    Given a backend server that answers "<answer>"
    When <what> is sent to it
    Then it is heard that the server <heard>

    Examples:
      | answer                      | what       | heard                         |
      | leaving                     | request r1 | leaves                        |
      | leaving, own failure        | request r1 | leaves                        |
      | leaving, full               | request r1 | leaves                        |
      | leaving, 503 without a mark | request r1 | leaves                        |
      | leaving stream              | request r1 | leaves                        |
      | leaving results             | a call     | leaves                        |
      | leaving results full        | a call     | leaves                        |
      | leaving, replaced           | request r1 | neither leaves nor wants rest |
      | leaving, another id         | request r1 | neither leaves nor wants rest |
      | leaving in words            | request r1 | neither leaves nor wants rest |
      | whole                       | request r1 | neither leaves nor wants rest |
      | full, not run               | request r1 | neither leaves nor wants rest |
      | rest of 3 s                 | request r1 | wants rest for 3 s            |
      | rest of 0.25 s              | request r1 | wants rest for 0.25 s         |
      | rest with 429               | request r1 | wants rest for 2 s            |
      | rest without a mark         | request r1 | wants rest for 2 s            |
      | rest of results             | a call     | wants rest for 1.5 s          |
      | rest of a day               | request r1 | wants rest for 600 s          |
      | rest of 0 s                 | request r1 | neither leaves nor wants rest |
      | rest of less than 0 s       | request r1 | neither leaves nor wants rest |
      | rest of nan s               | request r1 | neither leaves nor wants rest |
      | rest of inf s               | request r1 | neither leaves nor wants rest |
      | rest up to a date           | request r1 | neither leaves nor wants rest |
      | rest with an answer         | request r1 | neither leaves nor wants rest |
      | rest, replaced              | request r1 | neither leaves nor wants rest |
      | rest, another id            | request r1 | neither leaves nor wants rest |

  Scenario Outline: Results that cannot be matched with their pieces are refused
    Given a backend server that answers "<answer>"
    When three pieces are sent to it
    Then it ends with <end>

    Examples:
      | answer               | end                     |
      | too few results      | code 3004, may have run |
      | no results           | code 3004, may have run |
      | results full         | code 3014, not run      |

  Scenario Outline: What a caller may send
    Given an ingress whose forwarder answers "fine"
    When a caller sends "<sent>"
    Then it gets <answer>

    Examples:
      | sent                      | answer               |
      | a request                 | status 200           |
      | a chunked request         | status 200           |
      | a length and chunks       | status 400           |
      | two lengths               | status 400           |
      | a negative length         | status 400           |
      | another coding            | status 400           |
      | no id                     | status 400           |
      | a malformed deadline      | status 400           |
      | a head that is too long   | status 431           |
      | a head that is too slow   | status 408           |
      | a body that is too long   | status 413           |
      | half a head               | nothing              |
      | half a body               | nothing              |

  Scenario: Two requests on a connection get their own answers in order
    Given an ingress whose forwarder answers "fine"
    When a caller sends two requests at once on a connection
    Then it gets the answers to the first and the second

  Scenario: A stream that is cut does not look complete
    Given an ingress whose forwarder answers "a cut stream"
    When a caller sends "a request"
    Then the answer is cut behind its first event

  Scenario: A caller that leaves ends the work on its request
    Given an ingress whose forwarder answers "nothing yet"
    When a caller sends a request and leaves
    Then the work on it ends within 200 ms

  Scenario: A refusal says when to come back and bears no signature
    Given an ingress whose forwarder answers "a refusal"
    When a caller sends "a request"
    Then it gets status 503, Retry-After 1.25 and no signature

  Scenario: A fault of ours is no refusal
    Given an ingress whose forwarder answers "a fault"
    When a caller sends "a request"
    Then it gets status 500

  Scenario: An instance that is leaving closes connections behind their answers
    Given an ingress whose forwarder answers "fine"
    And the instance is leaving
    When a caller sends "a request"
    Then it gets status 200 and the connection closes

  Scenario: The operator's configuration is decoded
    When a configuration of the platform is decoded
    Then its routes, services, teams and limits are those of the product

  Scenario Outline: A malformed configuration is refused
    When the configuration <text> is decoded
    Then it is refused

    Examples:
      | text                            |
      | []                              |
      | {"routes": []}                  |
      | {"version": 1, "routes": [{}]}  |
      | {"version": 1, "services": [1]} |
      | nonsense                        |

  Scenario Outline: The store
    Given a store that answers "<answer>"
    When its changes are read
    Then <end>

    Examples:
      | answer            | end                                  |
      | a change          | the change is a row with version 7   |
      | a removal         | the change is a removal at version 8 |
      | forgotten history | the history is said to be lost       |
      | busy              | the store is said to be unavailable  |
      | too many calls    | the store is said to be unavailable  |
      | closed            | the store is said to be unavailable  |
      | silence           | the store is said to be unavailable  |

  Scenario: Log lines never block and dropped ones are counted
    Given a log whose reader does not read
    When 20000 lines are logged
    Then that took at most 2000 ms and the lines that found no room are counted
    And what is read says how many were dropped

  Scenario Outline: Whether a server has ended shows in how a connection fails
    Given <server>
    Then it <outcome> connections

    Examples:
      | server                               | outcome         |
      | a backend server that is not there   | refuses         |
      | a backend server that answers "whole" | does not refuse |
      | a backend server that answers "closed" | does not refuse |
      | a backend server that answers "silence" | does not refuse |

  Scenario: Bars are rows of a table, which come back as they were
    Given a store that keeps rows of bars
    When a bar is written there and read again
    Then it is the same bar
    When it is removed
    Then no bar is stored

  Scenario Outline: A row of bars that cannot be read hides no other
    Given a store that keeps rows of bars
    And a row there with <fault>
    When a bar is written there and read again
    Then it is the same bar

    Examples:
      | fault              |
      | no JSON            |
      | no servers         |
      | a list too short   |
      | a time before 1970 |

  Scenario: An operator lists and clears requests under which servers ended
    Given an instance's operator pages with one barred request
    When an operator lists them with the token
    Then the barred request is shown with its servers
    When an operator clears it with the token
    And an operator lists them with the token
    Then nothing is shown
    When an operator lists them with the token "wrong"
    Then the command ends with status 1

  Scenario: The store is asked while the rest of a process loads
    Given a store with both tables
    When a process loads the rest of its modules
    Then both tables were requested before the last module was loaded
    And both are read without another request

  Scenario: A first question that was not answered is asked again
    Given a store with both tables that refuses the first reads
    When a process loads the rest of its modules
    Then the first read of each fails and the second succeeds
