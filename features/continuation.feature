Feature: Streams that cannot be repeated continue from copies
  @forwarding
  Scenario Outline: A stream that may not be repeated continues where its copy is
    Given a fleet whose model servers keep copies
    And the first server is llm-2 and it <loss>
    When a narration r is sent to a-1
    Then narration r ends with status 200 and events 1 to 6
    And it continued at llm-1 from the copy of its run after event "<last>"
    And it was sent to llm-2, llm-1
    And every earlier connection was closed before it continued
    And its answer has the headers of <headers>
    And instance a-1 counts 1 copies and 1 continued
    And its copy was logged as copied, for 101944889 bytes a second at risk of at most 150000000
    And its break was logged as stream-continuing

    Examples:
      | loss                                         | last | headers |
      | breaks off within the third event            | 2    | llm-2   |
      | drains, and breaks off in the third event    | 2    | llm-2   |
      | crashes after 65 ms                          | 2    | llm-2   |
      | crashes after 95 ms                          | 5    | llm-2   |
      | is silent, and a peer sees its crash         | 3    | llm-2   |
      | is silent, and its data centre is cut off    | 3    | llm-2   |
      | is silent and unreachable                    | 3    | llm-2   |

  @forwarding
  Scenario Outline: A stream that breaks before its first event is not continued
    # Guards against a second run of a request that crashes each server as it begins: the server of
    # the copy has no copy yet, and would run it.
    Given a fleet whose model servers keep copies
    And the first server is llm-2 and it crashes after <ms> ms
    When a narration r is sent to a-1
    Then narration r fails with code 3006
    And it was sent to llm-2
    And none of its calls continued from a copy
    And instance a-1 counts 0 continued and 1 not_continued

    Examples:
      | ms |
      | 20 |
      | 45 |

  @forwarding
  Scenario: A stream that breaks after its last event ends normally
    Given a fleet whose model servers keep copies
    And the first server is llm-2 and it breaks off after the last event
    When a narration r is sent to a-1
    Then narration r ends with status 200 and events 1 to 6
    And it continued at llm-1 from the copy of its run after event "6"

  @forwarding
  Scenario: A continuation names the stage results, also after their release
    # Guards against a refusal by the server of the copy: model servers demand the results' handles
    # in every request whose route has stages.
    Given a fleet whose model servers keep copies
    And stage servers enc-1, enc-2 of service enc
    And results are held for 4 times as long as usual at a-1
    And the first server is llm-2 and it breaks off within the third event
    When a staged r is sent to a-1
    Then narration r ends with status 200 and events 1 to 6
    And it was sent to llm-2, llm-1
    And it continued with the same inputs
    And no stage of it ran twice

  @forwarding
  Scenario: A loss that a peer or the directory reports is acted on at once
    Given a fleet whose model servers keep copies
    And the first server is llm-2 and it is silent, and its data centre is cut off
    When a narration r is sent to a-1
    Then narration r ends with status 200 and events 1 to 6
    And it took less than 300 ms

  @forwarding
  Scenario Outline: A stream that cannot continue ends incomplete and is sent nowhere else
    Given a fleet whose model servers keep copies
    And the first server is llm-2 and it breaks off within the third event
    And <obstacle>
    When a narration r is sent to a-1
    Then narration r ends incomplete with code <code> after events 1 to 2
    And it was sent to <servers>
    And the copies that are freed by request are <freed>
    And instance a-1 counts 0 continued and 1 not_continued
    And its break was logged as stream-not-continued

    Examples:
      | obstacle                                    | code | servers      | freed        |
      | server llm-1 has no room for copies         | 3006 | llm-2, llm-1 | none         |
      | server llm-1 crashes before the break       | 3006 | llm-2, llm-1 | none         |
      | server llm-1 drains before the break        | 3006 | llm-2        | none         |
      | the retry budget is spent                   | 3006 | llm-2        | llm-1        |
      | the request is barred before the break      | 3006 | llm-2        | llm-1        |
      | the setting changes before the break        | 3006 | llm-2        | llm-1        |
      | the request must be answered within 90 ms   | 3006 | llm-2        | llm-1        |

  @forwarding
  Scenario: A stream continues once only
    Given a fleet whose model servers keep copies
    And the first server is llm-2 and it breaks off within the third event
    And server llm-1 has fault "cut"
    And server llm-3 of data centre a may get copies too
    When a narration r is sent to a-1
    Then narration r ends incomplete with code 3006 after events 1 to 4
    And it was sent to llm-2, llm-1
    And the copies that are freed by request are llm-1

  @forwarding
  Scenario: The log says why a continuation broke, not why the stream was continued
    Given a fleet whose model servers keep copies
    And the first server is llm-2 and it is silent, and a peer sees its crash
    And server llm-1 has fault "cut"
    When a narration r is sent to a-1
    Then it was sent to llm-2, llm-1
    And its last break was logged for llm-1 as "the connection broke within the answer"

  # Guards against two servers that work on one request: a sound server may neither send nor accept
  # connections for a second or so and then go on.
  @forwarding
  Scenario: A server that is silent and unreachable for a moment goes on with its stream
    Given a fleet whose model servers keep copies
    And the first server is llm-2 and it is silent and unreachable for 2000 ms
    When a narration r is sent to a-1
    Then narration r ends with status 200 and events 1 to 6
    And it was sent to llm-2

  @forwarding
  Scenario: A silent server that can be reached goes on with its stream
    Given a fleet whose model servers keep copies
    And the first server is llm-2 and it is silent for 1500 ms
    When a narration r is sent to a-1
    Then narration r ends with status 200 and events 1 to 6
    And it was sent to llm-2

  @forwarding
  Scenario: A stream is left to its server while no other one could continue it
    Given a fleet whose model servers keep copies
    And the first server is llm-2 and it is silent for 300 ms
    And the data centre of the first server is cut off meanwhile
    And server llm-1 drains before the break
    When a narration r is sent to a-1
    Then narration r ends with status 200 and events 1 to 6
    And it was sent to llm-2

  # Guards against an answer that is given up before it is known whether it can continue elsewhere:
  # its caller gets a cut answer, although its server was only silent for a moment.
  @forwarding
  Scenario Outline: A stream that cannot continue elsewhere is left to its silent server
    Given a fleet whose model servers keep copies
    And the first server is llm-2 and it is silent from <from> ms to <until> ms
    And <report>
    And <obstacle>
    When a narration r is sent to a-1
    Then narration r ends with status 200 and events 1 to 6
    And it was sent to llm-2
    And its stream was logged as left to its server

    Examples:
      | from | until | report                                  | obstacle                               |
      | 75   | 1600  | a peer reports its crash meanwhile      | the retry budget is spent              |
      | 75   | 1600  | a peer reports its crash meanwhile      | the request is barred before the break |
      | 75   | 1600  | a peer reports its crash meanwhile      | the setting changes before the break   |
      | 75   | 1600  | its data centre is cut off meanwhile    | the retry budget is spent              |
      | 75   | 3000  | no connection can be opened meanwhile   | the retry budget is spent              |
      | 75   | 1600  | its port refuses connections meanwhile  | the retry budget is spent              |
      | 20   | 1600  | a peer reports its crash meanwhile      | it has sent no event yet               |
      | 20   | 3000  | no connection can be opened meanwhile   | it has sent no event yet               |

  # Guards against a retry that is counted when the question is asked and again when the stream is
  # continued.
  @forwarding
  Scenario: A stream that continues after a silence takes one retry out of the budget
    Given a fleet whose model servers keep copies
    And the first server is llm-2 and it is silent, and a peer sees its crash
    When a narration r is sent to a-1
    Then narration r ends with status 200 and events 1 to 6
    And it was sent to llm-2, llm-1
    And every earlier connection was closed before it continued
    And it took 1 retries out of the budget

  @forwarding
  Scenario: A malformed answer is not continued, as its run may be another one
    Given a fleet whose model servers keep copies
    And server llm-2 has fault "unsigned"
    And server llm-2 runs it first
    When a narration r is sent to a-1
    Then it was sent to llm-2
    And instance a-1 counts 0 continued and 1 not_continued

  @forwarding
  Scenario: A request that was refused is sent anew and without a copy to continue from
    Given a fleet whose model servers keep copies
    And server llm-2 has fault "full"
    And server llm-2 runs it first
    When a narration r is sent to a-1
    Then narration r ends with status 200 and events 1 to 6
    And none of its calls continued from a copy
    And instance a-1 counts 0 continued and 0 not_continued
    And no stream is watched at a-1

  @forwarding
  Scenario: A request that was refused and is not sent anew has no copy to free
    Given a fleet whose model servers keep copies
    And server llm-2 has fault "full"
    And server llm-2 runs it first
    And the retry budget is spent
    When a narration r is sent to a-1
    Then request r ends with code 2009 as not_run
    And the copies that are freed by request are none
    And instance a-1 counts 0 continued and 0 not_continued

  @forwarding
  Scenario: A request that was refused and finds no other server has no copy to free
    Given a fleet whose model servers keep copies
    And server llm-2 has fault "full"
    And server llm-2 runs it first
    And server llm-1 goes out of use at a-1 once llm-2 is reached
    When a narration r is sent to a-1
    Then it was sent to llm-2
    And the copies that are freed by request are none

  @forwarding
  Scenario: The copy of a caller who left is freed after the run was ended
    Given a fleet whose model servers keep copies
    And server llm-2 runs it first
    When the caller of narration r to a-1 leaves after 65 ms
    Then the copies that are freed by request are llm-1
    And the connection was closed before the copy was freed

  @forwarding
  Scenario: The copy of a run that ended normally is left to its server
    Given a fleet whose model servers keep copies
    And server llm-2 runs it first
    When a narration r is sent to a-1
    Then narration r ends with status 200 and events 1 to 6
    And the copies that are freed by request are none
    And instance a-1 counts 1 copies and 0 continued
    And no stream is watched at a-1
    And the coordinators count 0 tokens of copies

  @forwarding
  Scenario Outline: Only streams that can be neither repeated nor resumed get copies
    Given a fleet whose model servers <keep> copies
    And the setting continue_streams is <setting> at a-1
    And the first server is llm-2 and it breaks off within the third event
    When a <kind> r is sent to a-1
    Then <calls> of its calls asked for a copy
    And it was run by <runs> servers

    Examples:
      | keep      | setting | kind      | calls | runs |
      | keep      | true    | narration | 1     | 2    |
      | keep      | false   | narration | 0     | 1    |
      | keep none | true    | narration | 0     | 1    |
      | keep      | true    | resumable | 0     | 2    |
      | keep      | true    | brief     | 0     | 1    |

  Scenario Outline: A copy must be worth its bytes for the time that the stream is at risk
    Given a prompt of <prompt> tokens and at most <output> of output, with <mbps> Mbit/s
    And streams of its route that had <events> events over <ms> ms
    Then it is <wanted> a copy

    Examples: Long answers to short prompts, and the opposite
      | prompt | output | mbps  | events | ms   | wanted    |
      | 700    | 280    | 10000 | 70     | 2500 | worth     |
      | 700    | 280    | 10000 | 0      | 0    | worth     |
      | 1040   | 600    | 10000 | 34     | 1060 | not worth |
      | 9200   | 52     | 10000 | 13     | 500  | not worth |
      | 9200   | 52     | 10000 | 0      | 0    | not worth |
      | 9200   | 52     | 90000 | 13     | 500  | not worth |

    Examples: Streams that end sooner than their longest answer would, and links that are too slow
      | prompt | output | mbps  | events | ms   | wanted    |
      | 700    | 280    | 10000 | 7      | 250  | not worth |
      | 700    | 280    | 1000  | 70     | 2500 | worth     |
      | 700    | 280    | 500   | 70     | 2500 | not worth |

  Scenario Outline: The server of a copy is another one in the data centre of the instance
    Given model servers a-x, a-y, a-z, b-x, b-y with 10000 tokens of cache
    When a copy of <tokens> tokens is placed for an instance in <datacentre>, run by <first>, not at <excluded>
    Then its server is <server>

    Examples:
      | tokens | datacentre | first | excluded | server |
      | 900    | a          | b-x   |          | a-x    |
      | 900    | a          | a-x   |          | a-y    |
      | 900    | a          | a-x   | a-y      | a-z    |
      | 900    | b          | a-x   |          | b-x    |
      | 900    | b          | b-x   | b-y      | none   |
      | 900    | c          | a-x   |          | none   |
      | 1000   | a          | b-x   |          | a-x    |
      | 1001   | a          | b-x   |          | none   |

  @forwarding
  Scenario Outline: A copy is placed for the instance that asks, whichever instance places it
    Given a fleet whose model servers keep copies
    And server <first> runs it first
    When a narration r is sent to <instance>
    Then its copy was kept at <server>

    Examples:
      | instance | first | server |
      | a-1      | llm-2 | llm-1  |
      | b-1      | llm-1 | llm-2  |

  Scenario Outline: A server is probed only after a pause that is long for its route
    Given a stream with a copy, of a route whose longest pause is <gap> ms
    Then its server is probed after a pause of <pause> ms

    Examples:
      | gap | pause |
      | 0   | 1000  |
      | 100 | 1000  |
      | 500 | 2500  |

  Scenario: Copies are spread, and take a tenth of a cache at most until their prompts end
    Given model servers a-x, a-y, b-x with 10000 tokens of cache
    When 4 copies of 600 tokens are placed for an instance in a, run by b-x
    Then their servers are a-x, a-y, none, none
    When the prompt of copy 1 ends
    And 2 copies of 600 tokens are placed for an instance in a, run by b-x
    Then their servers are a-x, none

  Scenario: The copies of an instance that is gone count until their servers drop them
    Given model servers a-x, b-x with 10000 tokens of cache
    When 1 copies of 600 tokens are placed for an instance in a, run by b-x
    And the instance is gone for 3900 ms
    And 1 copies of 600 tokens are placed for an instance in a, run by b-x
    Then their servers are none
    When the instance is gone for 200 ms
    And 1 copies of 600 tokens are placed for an instance in a, run by b-x
    Then their servers are a-x

  @forwarding
  Scenario: A coordinator goes on counting the copies of an instance that is gone
    Given a fleet whose model servers keep copies
    When another instance in a has a narration placed at b-1
    Then the coordinators count 980 tokens of copies
    When that instance is gone and 3900 ms go by
    And another instance in a has a brief placed at b-1
    Then the coordinators count 10232 tokens of copies
    When that instance is gone and 200 ms go by
    And another instance in a has a narration placed at b-1
    Then the coordinators count 10232 tokens of copies

  Scenario: A server that is out of use gets no copies
    Given model servers a-x, a-y, b-x with 10000 tokens of cache
    And server a-x is out of use there
    When 1 copies of 600 tokens are placed for an instance in a, run by b-x
    Then their servers are a-y

  Scenario: The server with the least to do gets the copy
    Given model servers a-x, a-y, b-x with 10000 tokens of cache
    And server a-x runs many prompts there
    When 1 copies of 600 tokens are placed for an instance in a, run by b-x
    Then their servers are a-y

  Scenario: The headers of copies reach the server as the platform names them
    Given a backend server that answers "whole"
    When a request with a copy at "10.0.0.9:80" is sent to it, continuing from "10.0.0.8:80/r1"
    Then the server gets "Mountladder-Kv-Backup" "10.0.0.9:80" and "Kv-From" "10.0.0.8:80/r1"

  Scenario Outline: A copy is freed by the id of its request
    Given a backend server that answers "<answer>"
    When the copy of request "a/1" is freed there
    Then the server gets the request line "DELETE /mountladder/kv-handle/a%2F1 HTTP/1.1"

    Examples:
      | answer       |
      | whole        |
      | closed       |
      | server error |

  Scenario Outline: An answer whose connection is broken from here does not count as whole
    Given a backend server that sends half of an answer <framing> and then nothing
    When its connection is broken from here after 50 ms while the answer is read
    Then reading ends with code 3003 within 250 ms

    Examples:
      | framing          |
      | with a length    |
      | without a length |
      | in chunks        |
      | before its head  |

  Scenario Outline: An answer whose connection was broken before it is read does not count as whole
    Given a backend server that sends half of an answer <framing> and then nothing
    When its connection is broken from here before the answer is read
    Then reading ends with code 3003 within 250 ms

    Examples:
      | framing          |
      | with a length    |
      | without a length |
      | in chunks        |

  Scenario: A server can be reached as long as its port accepts connections
    Given a backend server that answers "whole"
    Then it can be reached
    Given a backend server whose port is closed
    Then it cannot be reached

  Scenario Outline: The catalogue says whether model servers keep copies, and at what cost
    When a service with the engine <engine> is decoded
    Then its copies are <copies>

    Examples:
      | engine                                                                              | copies                     |
      | {"backups": true, "kv_token_bytes": 262144, "link_mbps": 10000, "handle_s": 4}      | 262144 bytes, 10000, 4000  |
      | {"backups": false, "kv_token_bytes": 262144, "link_mbps": 10000, "handle_s": 4}     | none                       |
      | {"kv_token_bytes": 262144, "link_mbps": 10000}                                      | none                       |
      | {"backups": true, "link_mbps": 10000, "handle_s": 4}                                | none                       |
      | {"backups": true, "kv_token_bytes": 262144}                                         | none                       |
