@platform
Feature: The adapter to the platform
  # Calls to backend servers, connections of callers, the store and the log, over real sockets.
  Scenario Outline: Outcome of a request by the answer of its backend server
    Given a backend server that answers "<answer>"
    When request r1 is sent to it
    Then it ends with <end>

    Examples:
      | answer                   | end                          |
      | whole                    | status 200 and body "hello"  |
      | chunked                  | status 200 and body "hello"  |
      | no length                | status 200 and body "hello"  |
      | server error             | status 500 and body "broken" |
      | another id               | code 3010, may have run      |
      | no id                    | code 3010, may have run      |
      | full, another id         | code 3010, may have run      |
      | full, no id              | code 3010, may have run      |
      | replaced, another id     | code 3010, may have run      |
      | replaced, no id          | code 3010, may have run      |
      | inputs gone, another id  | code 3010, may have run      |
      | 400 not run, no id       | code 3010, may have run      |
      | server error, another id | code 3010, may have run      |
      | full, not run            | code 3014, not run           |
      | leaving, not run         | code 3008, not run           |
      | replaced                 | code 3015, not run           |
      | inputs gone, not run     | code 3016, not run           |
      | 503 without Not-Executed | code 3004, may have run      |
      | 429 without Not-Executed | code 3004, may have run      |
      | 408 without Not-Executed | code 3004, may have run      |
      | encoded                  | code 3004, may have run      |
      | shorter than its length  | code 3003, may have run      |
      | chunks cut               | code 3003, may have run      |
      | garbage                  | code 3003, may have run      |
      | closed                   | code 3003, may have run      |
      | reset without length     | code 3003, may have run      |
      | silence                  | code 3011, may have run      |

  Scenario Outline: Whether an answer ends only with its connection
    # Guards against a crash of a server that is taken for the end of its answer.
    Given a backend server that answers "<answer>"
    When request r1 is sent to it
    Then its answer <ends> with its connection

    Examples:
      | answer    | ends     |
      | whole     | ends not |
      | chunked   | ends not |
      | no length | ends     |

  Scenario: A request whose connection is refused was not run
    Given a backend server whose port is closed
    When request r1 is sent to it
    Then it ends with code 3009, not run

  Scenario Outline: How much longer a server is cold by its health check
    Given a backend server that answers "<answer>"
    When its health is checked
    Then it is cold for <cold_ms> ms

    Examples:
      | answer           | cold_ms |
      | cold for 1250 ms | 1250.0  |
      | not cold         | 0.0     |
      | failing          | None    |
      | closed           | None    |

  # Guards against a start that is read from something else than a server's own report.
  Scenario Outline: When a server started by its report
    Given a backend server that answers "<answer>"
    When it is asked when it started
    Then it started at <start>

    Examples:
      | answer                            | start         |
      | a report with start 1700000000123 | 1700000000123 |
      | a report without a start          | None          |
      | a report with start true          | None          |
      | a report with start 0             | None          |
      | a report with start 1.5           | None          |
      | a report that is a list           | None          |
      | a report that is not JSON         | None          |
      | a report with status 503          | None          |
      | replaced                          | None          |
      | silence                           | None          |
      | closed                            | None          |

  Scenario Outline: Which connections are reused
    Given a backend server that answers "<answer>"
    When requests r1 and r2 are sent to it
    Then they went over <connections> connections and both ended with status 200

    Examples:
      | answer              | connections |
      | whole               | 1           |
      | chunked             | 1           |
      | extra bytes at once | 1           |
      | extra bytes later   | 2           |
      | whole and closing   | 2           |
      | no length           | 2           |

  Scenario: Idle connections are limited to this instance's share of what a server accepts
    Given a backend server that answers "whole", with a connection share of 3
    When 8 requests are sent to it at once
    Then 3 idle connections to it are kept

  Scenario: A request that must not be repeated does not reuse an old connection
    Given a backend server that answers "whole"
    When request r1 is sent to it and unsafe request r2 1200 ms later
    Then they went over 2 connections and both ended with status 200

  Scenario: Headers of a forwarded request
    Given a backend server that answers "whole"
    When a caller's request with forged and private headers is sent to it
    Then the server gets the same request, with the instance's headers in place of forged ones

  Scenario: A caller on a public route cannot claim a team
    Given a backend server that answers "whole"
    When a caller without a team sends a forged team
    Then the server gets no team

  Scenario: Results are matched with their pieces by position
    Given a backend server that answers "results"
    When three pieces are sent to it
    Then their results are a handle, input gone and no room in this order

  Scenario Outline: Rate limits that answers report
    # A refusal need not carry the header, so its absence does not lift a limit. An answer of
    # another server, or to another request, does not count.
    Given a backend server that answers "<answer>"
    When <what> is sent to it
    Then its rate limit notices are <notices>

    Examples:
      | answer                    | what         | notices      |
      | limited                   | request r1   | 1.5 a second |
      | limited, server error     | request r1   | 2.0 a second |
      | limited, full             | request r1   | 0.3 a second |
      | limited results           | a stage call | 4.0 a second |
      | limited results full      | a stage call | 0.5 a second |
      | whole                     | request r1   | unlimited    |
      | results                   | a stage call | unlimited    |
      | full, not run             | request r1   | none         |
      | 503 without Not-Executed  | request r1   | none         |
      | results full              | a stage call | none         |
      | limited, replaced         | request r1   | none         |
      | limited, another id       | request r1   | none         |
      | limited, full, another id | request r1   | none         |
      | limit is a word           | request r1   | none         |
      | limit below zero          | request r1   | none         |
      | limit is nan              | request r1   | none         |

  Scenario: A connection to a server is not ended by the kernel while the server is silent
    # A user timeout also ends connections whose keep-alive probes go unanswered, although the
    # server goes on after a moment.
    Given a backend server that answers "whole"
    When a connection to it is opened
    Then its user timeout is that of the system, and it sends no keep-alive probes

  Scenario Outline: Rejection limits that answers report
    # A refusal need not carry the header, so its absence does not lift a limit. An answer of
    # another server, or to another request, does not count.
    Given a backend server that answers "<answer>"
    When <what> is sent to it
    Then its rejection limit notices are <notices>

    Examples:
      | answer                   | what         | notices      |
      | fragile                  | request r1   | 4.0 a second |
      | fragile, full            | request r1   | 0.0 a second |
      | fragile results          | a stage call | 2.5 a second |
      | fragile results full     | a stage call | 7.0 a second |
      | whole                    | request r1   | unlimited    |
      | results                  | a stage call | unlimited    |
      | full, not run            | request r1   | none         |
      | 503 without Not-Executed | request r1   | none         |
      | fragile, replaced        | request r1   | none         |
      | fragile, another id      | request r1   | none         |
      | fragile is a word        | request r1   | none         |

  Scenario Outline: Leaving and back-off notices that answers report
    # An answer of another server, or to another request, does not count.
    Given a backend server that answers "<answer>"
    When <what> is sent to it
    Then its leaving and back-off notices are <notices>

    Examples:
      | answer                            | what         | notices             |
      | leaving                           | request r1   | leaving             |
      | leaving, server error             | request r1   | leaving             |
      | leaving, full                     | request r1   | leaving             |
      | leaving, 503 without Not-Executed | request r1   | leaving             |
      | leaving stream                    | request r1   | leaving             |
      | leaving results                   | a stage call | leaving             |
      | leaving results full              | a stage call | leaving             |
      | leaving, replaced                 | request r1   | none                |
      | leaving, another id               | request r1   | none                |
      | leaving header is a word          | request r1   | none                |
      | whole                             | request r1   | none                |
      | full, not run                     | request r1   | none                |
      | back-off of 3 s                   | request r1   | back-off for 3 s    |
      | back-off of 0.25 s                | request r1   | back-off for 0.25 s |
      | back-off with 429                 | request r1   | back-off for 2 s    |
      | back-off without Not-Executed     | request r1   | back-off for 2 s    |
      | back-off of results               | a stage call | back-off for 1.5 s  |
      | back-off of a day                 | request r1   | back-off for 600 s  |
      | back-off of 0 s                   | request r1   | none                |
      | back-off of less than 0 s         | request r1   | none                |
      | back-off of nan s                 | request r1   | none                |
      | back-off of inf s                 | request r1   | none                |
      | back-off until a date             | request r1   | none                |
      | back-off with status 200          | request r1   | none                |
      | back-off, replaced                | request r1   | none                |
      | back-off, another id              | request r1   | none                |
      | full for a while, another id      | request r1   | none                |
      | full for a while, no id           | request r1   | none                |
      | leaving, full, no id              | request r1   | none                |

  Scenario Outline: Results that cannot be matched with their pieces are refused
    Given a backend server that answers "<answer>"
    When three pieces are sent to it
    Then it ends with <end>

    Examples:
      | answer          | end                     |
      | too few results | code 3004, may have run |
      | no results      | code 3004, may have run |
      | results full    | code 3014, not run      |

  Scenario Outline: Which requests of callers are accepted
    Given an ingress whose forwarder answers "fine"
    When a caller sends "<sent>"
    Then it gets <answer>

    Examples:
      | sent                    | answer     |
      | a request               | status 200 |
      | a chunked request       | status 200 |
      | a length and chunks     | status 400 |
      | two lengths             | status 400 |
      | a negative length       | status 400 |
      | another coding          | status 400 |
      | no id                   | status 400 |
      | a malformed deadline    | status 400 |
      | a head that is too long | status 431 |
      | a head that is too slow | status 408 |
      | a body that is too long | status 413 |
      | half a head             | nothing    |
      | half a body             | nothing    |

  Scenario: Two requests on a connection get their own answers in order
    Given an ingress whose forwarder answers "fine"
    When a caller sends two requests at once on a connection
    Then it gets the answers to the first and the second

  # Guards against a header that is read by another name than callers send: streams that they resume
  # would be unknown.
  Scenario: A caller that resumes a stream names the request that began it
    Given an ingress whose forwarder answers "fine"
    When a caller sends a request that resumes r0 after event 3
    Then the forwarder is to resume r0 after event 3

  Scenario: A stream that is cut does not look complete
    Given an ingress whose forwarder answers "a cut stream"
    When a caller sends "a request"
    Then the answer is cut after its first event

  Scenario: A caller that disconnects cancels the work on its request
    Given an ingress whose forwarder answers "nothing yet"
    When a caller sends a request and disconnects
    Then the work on it is cancelled within 200 ms

  Scenario: A refusal has a Retry-After header and no server stamp
    Given an ingress whose forwarder answers "a refusal"
    When a caller sends "a request"
    Then it gets status 503, Retry-After 1.25 and no server stamp

  Scenario: An unexpected exception is answered with status 500, not as a refusal
    Given an ingress whose forwarder answers "a fault"
    When a caller sends "a request"
    Then it gets status 500

  Scenario: An instance that is leaving closes connections after their answers
    Given an ingress whose forwarder answers "fine"
    And the instance is leaving
    When a caller sends "a request"
    Then it gets status 200 and the connection closes

  # Guards against a request that is sent to a server and ends with 500, as the process closes its
  # connections before the server has answered.
  Scenario Outline: A request that comes while a process closes its connections is refused as not run
    Given an instance that shuts down while a caller keeps a connection open
    When the instance has stopped waiting for requests, and <what> comes over that connection
    Then it gets status 503 with a Retry-After, and is sent to no server

    Examples:
      | what                                |
      | a request                           |
      | the end of a request begun before   |

  Scenario: The operator's configuration is decoded
    When a configuration of the platform is decoded
    Then its routes, services, teams and limits match its text

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

  Scenario Outline: Changes and errors of the store
    Given a store that answers "<answer>"
    When its changes are read
    Then <end>

    Examples:
      | answer         | end                                  |
      | a change       | the change is a row with version 7   |
      | a removal      | the change is a removal at version 8 |
      | lost history   | the history is reported as lost      |
      | busy           | the store is reported as unavailable |
      | too many calls | the store is reported as unavailable |
      | closed         | the store is reported as unavailable |
      | silence        | the store is reported as unavailable |

  # Guards against a request that ends with 500 since its server's header has a digit that is none.
  Scenario Outline: A malformed number in a header of an answer is ignored with a log line
    Given a backend server that answers with header <header> "<text>"
    When request r1 is sent to it
    Then it ends with status 200 and body "hello"
    And nothing is taken from <header>, which is logged

    Examples:
      | header                  | text                 |
      | Mountladder-Server-Load | ²,0,8             |
      | Mountladder-Server-Load | 3,¹,8             |
      | Mountladder-Server-Load | 1_0,1,8              |
      | Mountladder-Server-Load | 7 times 1000,1       |
      | Mountladder-Server-Load | 3,                   |
      | Mountladder-Server-Load | -1,5                 |
      | Server-Limit            | 1_0                  |
      | Server-Limit            | ²                 |
      | Server-Brittle          | 7 times 1000         |
      | Server-Brittle          | 1e999                |
      | Keep-Alive              | timeout=²         |
      | Keep-Alive              | timeout=7 times 5000 |

  Scenario Outline: A number in a header of an answer is read
    Given a backend server that answers with header <header> "<text>"
    When request r1 is sent to it
    Then <read> is taken from <header>, and nothing is logged

    Examples:
      | header                  | text        | read |
      | Mountladder-Server-Load | 3,0,8       | 3    |
      | Mountladder-Server-Load | 3 , 4       | 7    |
      | Server-Limit            | 1.5         | 1.5  |
      | Server-Limit            | .5          | 0.5  |
      | Server-Limit            | 2e-1        | 0.2  |
      | Server-Brittle          | 0           | 0.0  |

  Scenario Outline: An era of the store that is no number is refused
    Given a store over HTTP whose era is given as "<text>"
    When its rows are read
    Then they are refused as malformed

    Examples:
      | text         |
      | ²         |
      | 7 times 5000 |
      | 1.5          |
      | -1           |

  # Guards against a server that begins to drain while the table is read, and stays in use.
  Scenario Outline: A change of a table that is read in several pages is not missed
    Given a store whose table takes 3 pages
    When the entry of server <server> becomes draining after page <page> is read
    Then a follower of the table knows it as draining after one more call

    Examples:
      | server | page |
      | 1      | 1    |
      | 1      | 2    |
      | 3      | 2    |
      | 5      | 1    |
      | 6      | 3    |

  Scenario: Writing log lines never blocks, and dropped lines are counted
    Given a log whose reader does not read
    When 20000 lines are logged
    Then that took at most 2000 ms and the dropped lines are counted
    And the log's output reports how many were dropped

  Scenario Outline: Only a refused connection counts as a crashed server
    Given <server>
    Then it <outcome> connections

    Examples:
      | server                                  | outcome         |
      | a backend server whose port is closed   | refuses         |
      | a backend server that answers "whole"   | does not refuse |
      | a backend server that answers "closed"  | does not refuse |
      | a backend server that answers "silence" | does not refuse |

  Scenario: Bars are stored as rows of a table and read back unchanged
    Given a store that keeps rows of bars
    When a bar is written there and read again
    Then it is the same bar
    When it is removed
    Then no bar is stored

  Scenario: Bars of prompt parts are stored as rows of a table of their own
    # Guards against rows that earlier versions, which know only requests, would take for theirs.
    Given a store that keeps rows of bars
    When a bar of a prompt part is written there and read again
    Then it is the same bar
    And the table of requests holds no row
    When it is removed
    Then no bar is stored

  Scenario Outline: An unreadable row of a prompt part does not hide the others
    Given a store that keeps rows of bars
    And a row of a prompt part there with <fault>
    When a bar of a prompt part is written there and read again
    Then it is the same bar

    Examples:
      | fault                         |
      | a list too short              |
      | requests of another number    |
      | a request that is no text     |

  Scenario Outline: An unreadable row of bars does not hide the others
    Given a store that keeps rows of bars
    And a row there with <fault>
    When a bar is written there and read again
    Then it is the same bar

    Examples:
      | fault                     |
      | no JSON                   |
      | no servers                |
      | a list too short          |
      | a presumed list too short |
      | a time before 1970        |

  Scenario: A row with presumed crashes is read as such, and skipped by earlier versions
    Given a store that keeps rows of bars
    When presumed crashes are written there and read again
    Then they are the same, and fields that earlier versions read show no crash and no bar

  Scenario: An operator lists and clears requests under which servers crashed
    Given an instance's operator pages with one barred request
    When an operator lists them with the token
    Then the barred request is shown with its servers
    When an operator clears it with the token
    And an operator lists them with the token
    Then nothing is shown
    When an operator lists them with the token "wrong"
    Then the command ends with status 1

  Scenario: An operator lists and clears prompt parts under which servers crashed
    Given an instance's operator pages with one barred prompt part
    When an operator lists them with the token
    Then the barred part is shown with its servers
    When an operator clears it with the token
    And an operator lists them with the token
    Then nothing is shown

  Scenario: The tables are requested while a process still imports modules
    Given a store with both tables
    When a process loads the rest of its modules
    Then both tables were requested before the last module was loaded
    And both are read without another request

  Scenario: A first read that fails is repeated
    Given a store with both tables that refuses the first reads
    When a process loads the rest of its modules
    Then the first read of each fails and the second succeeds

  Scenario: Software versions are stored in the platform's store
    Given a store that keeps rows of versions
    When 150 versions with long names are stored, and 120 of them removed
    Then those that are left are read

  Scenario: The store has it for which era the versions are confirmed
    Given a store that keeps rows of versions
    When 2 versions with long names are stored, and 1 of them removed
    Then they have never been confirmed
    When the versions there are confirmed for era 3
    Then those that are left are read
    And they are confirmed for era 3

  Scenario Outline: A malformed confirmation of versions confirms nothing
    Given a store that keeps rows of versions
    When 2 versions with long names are stored, and 1 of them removed
    And the row that confirms versions is <value>
    Then those that are left are read
    And they are not confirmed

    Examples:
      | value          |
      | {}             |
      | {"era": "0"}   |
      | {"era": true}  |
      | {"era": -1}    |
      | {"era": 0, "version": "7"} |
      | [              |

  Scenario Outline: Malformed rows of versions are ignored
    Given a store that keeps rows of versions
    When a row of versions is <value>
    Then those that are left are read

    Examples:
      | value                               |
      | {                                   |
      | []                                  |
      | {"service": "llm", "version": 2}    |
      | {"version": "v1"}                   |
      | {"era": 3}                          |
      | {"service": "\ud800", "version": "v1"} |

  Scenario: A change of rows that the store refuses counts as not made
    Given a store that answers changes of rows with status 413
    When a version is stored there
    Then that fails with code 5001

  # Guards against a change that counts as made for an answer that does not say so.
  Scenario Outline: A change of rows with another answer than success may have been made
    Given a store that answers changes of rows with status <status>
    When a version is stored there
    Then that fails with code 5002

    Examples:
      | status |
      | 201    |
      | 204    |
      | 302    |
      | 304    |

  Scenario: Origins of streams are stored in the platform's store
    Given a store that keeps rows of origins
    When batches of 1000 origins are stored there, and the first one removed
    Then the batches that are left are read

  Scenario Outline: Malformed rows of origins are ignored
    Given a store that keeps rows of origins
    When a row of origins there has <fields>
    Then the batches that are left are read

    Examples:
      | fields                    |
      | {"streams": ["AAAA"]}     |
      | {"streams": ["?"]}        |
      | {"streams": ["\u00e9"]}   |
      | {"streams": []}           |
      | {"versions": [1]}         |
      | {"services": ["\ud800"]}  |
      | {"lifetime_ms": -1}       |
