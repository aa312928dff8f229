Feature: Randomized fault soak
  # A seed draws faults that are injected into instances running as processes. The checks compare
  # what callers and backend servers observed with the promises. A check that finds nothing would
  # hide a broken promise, so each is tested: it must find its violation, and excuse one that a
  # fault explains.

  Scenario: A short seed with real processes keeps every promise
    When seed 7 of the soak is played for 8 seconds with 4 instances
    Then every promise is kept
    And at least 100 requests were served

  Scenario: The same seed draws the same faults
    Then seed 11 draws the same faults twice, and other ones than seed 12
    And 50 seeds draw every kind of fault
    And no fault of a draw for 60 instances begins in the last three tenths of the traffic

  Scenario: A record without violations passes
    Given a record of a soak without violations
    Then every promise is kept

  Scenario Outline: Each check finds its violation
    Given a record of a soak without violations
    When <fault>
    Then only <check> is broken

    Examples:
      | fault                                                          | check                     |
      | an unsafe request ran on two servers                           | at_most_once              |
      | a stream that cannot be resumed ran on two servers             | at_most_once              |
      | an unsafe request that ran was refused                         | refused_not_run           |
      | a refusal has no Retry-After                                   | retry_after_given         |
      | an answer has another request's body                           | complete_answers          |
      | a server got a request that no caller sent                     | only_callers_requests     |
      | a server got a request without a team                          | only_callers_requests     |
      | a server got results of another request                        | only_callers_requests     |
      | a valid key was refused                                        | valid_requests_accepted   |
      | a process returned to an older configuration                   | no_version_rollback       |
      | an instance has an old configuration long after a change       | version_applied_in_time   |
      | a draining server got a request much later                     | draining_server_unused    |
      | a server of a drained data centre got a request                | drained_datacentre_unused |
      | a cold server got many requests in a second                    | cold_rate_kept            |
      | a server got more requests than its limit                      | limits_kept               |
      | a server got a request after it announced that it leaves       | leaving_server_unused     |
      | a stage server got a call after it announced that it leaves    | leaving_server_unused     |
      | a server got three requests within a back-off                  | backoff_kept              |
      | fragile servers crashed three times                            | fragile_not_overfilled    |
      | a server works on a stream long after it continued elsewhere   | continued_once            |
      | a stream continued twice                                       | continued_once            |
      | a stream continued with an event of another run                | complete_answers          |
      | a stream that broke has an event twice                         | complete_answers          |
      | a restart cut a request in flight                              | restarts_cut_nothing      |
      | a stream was cut while its server was silent                   | none_given_up             |
      | an instance gave a request up with its own error while its server was silent | none_given_up |
      | a request was given up beside a storm of versions and a reload | none_given_up             |
      | a request was given up soon after its instance was asked to shut down | none_given_up      |
      | a service got more retries than the budget allows              | retry_budget              |
      | requests reached servers long after their callers disconnected | abandoned_not_forwarded   |
      | a request that crashed servers keeps reaching servers          | deadly_quarantined        |
      | a part that crashed servers keeps reaching servers             | deadly_part_quarantined   |
      | requests that share the first part with it are refused         | sound_served_beside_part  |
      | few requests are served where one instance gets most connections | served_when_skewed      |
      | no request is served at the end                                | service_recovers          |
      | a process exited unasked                                       | no_unplanned_exits        |
      | a process used more memory than its limit                      | memory_kept               |
      | an answer was kept long for a caller that read nothing         | stalled_callers_cut       |
      | an instance that cut a slow reader answered no other caller    | cut_leaves_others         |
      | three streams have events of two versions                      | streams_of_one_version    |
      | three streams continued from copies at another version         | streams_of_one_version    |
      | most streams that callers resumed were refused                 | resumed_streams_continue          |

  Scenario Outline: Streams need not continue while fewer than two servers of their version serve
    Given a record of a soak without violations
    When most streams that callers resumed were refused, with <servers> of their version
    Then every promise is kept

    Examples:
      | servers                        |
      | one server                     |
      | only drained servers           |

  # Guards against a check that takes the one part that no instance can know for an excuse of others.
  Scenario Outline: A part of a body is excused only if it looks sound and no more is claimed of it
    Given a record of a soak without violations
    When a server sent a part by <framing>, <end>, and its caller got <what> by <claim>
    Then <outcome>

    Examples:
      | framing    | end                          | what   | claim      | outcome                         |
      | connection | end                          | it     | connection | every promise is kept           |
      | connection | end                          | it     | length     | only complete_answers is broken |
      | connection | end                          | it     | chunks     | only complete_answers is broken |
      | connection | end                          | a byte | connection | only complete_answers is broken |
      | connection | end and reset after 0.001 s  | it     | connection | only complete_answers is broken |
      | connection | end, then reset after 0.03 s | it     | connection | only complete_answers is broken |
      | connection | end, then reset after 0.06 s | it     | connection | every promise is kept           |
      | connection | end, then reset after 0.06 s | it     | length     | only complete_answers is broken |
      | connection | reset                        | it     | connection | only complete_answers is broken |
      | connection | reset later                  | it     | connection | only complete_answers is broken |
      | connection | server killed                | it     | connection | only complete_answers is broken |
      | length     | end                          | it     | connection | only complete_answers is broken |
      | chunks     | end                          | it     | connection | only complete_answers is broken |

  # Guards against callers of the soak that take a part of a body for the whole.
  Scenario: A caller tells a whole body from its parts and from other bytes
    Given the body of a plain answer
    Then it is whole, and each of its first parts is found to be one
    And it is wrong with any byte changed, left out or added
    And a part of it is not wrong if it did not end regularly

  Scenario Outline: A violation that a fault explains is excused
    Given a record of a soak without violations
    And a fault "<kind>" of <target> from second 1 to second 9
    When <fault>
    Then every promise is kept

    Examples:
      | kind        | target | fault                                                    |
      | store-reset | a-1    | an instance has an old configuration long after a change |
      | down        | store  | an instance has an old configuration long after a change |
      | pause       | a-1    | a draining server got a request much later               |
      | kill        | a-1    | a restart cut a request in flight                        |
      | pause       | a-1    | a server got a request after it announced that it leaves |
      | pause       | a-1    | a server got three requests within a back-off            |
      | pause       | a-1    | fragile servers crashed three times                      |
      | pause       | a-1    | an answer was kept long for a caller that read nothing   |
      | pause       | a-1    | an instance that cut a slow reader answered no other caller |
      | pause       | a-1    | a stream was cut while its server was silent             |
      | crash       | llm    | a stream was cut while its server was silent             |
      | slow        | store  | an instance gave a request up with its own error while its server was silent |
      | pause       | b-1    | most streams that callers resumed were refused              |
      | kill        | a-1    | a server got more requests than its limit                |
      | down        | store  | streams that began seconds before were unknown              |
      | older       | store  | streams that began seconds before were unknown              |
      | peers-reset | b-1    | streams that began seconds before were unknown              |

  # Guards against checks that a cut switches off: it excuses what one side cannot know, no more.
  Scenario Outline: A data centre that is cut off excuses only what the other side does not know
    Given a record of a soak without violations
    And a fault "isolated-reset" of b-1 from second 1 to second 9
    When <fault>
    Then <outcome>

    Examples:
      | fault                                                                   | outcome                                 |
      | three streams have events of two versions                               | only streams_of_one_version is broken   |
      | streams that began seconds before at b-1 were unknown at b-1            | only origins_known is broken            |
      | streams that began seconds before at b-1 were unknown at a-2            | every promise is kept                   |
      | most streams that began at a-2 and were resumed at a-2 were refused     | only resumed_streams_continue is broken |
      | most streams that began at b-1 and were resumed at a-2 were refused     | every promise is kept                   |
      | a stream whose version had left was told not to return, and then served | every promise is kept                   |

  # Guards against recorded seeds of a cut that draw other faults than they did.
  Scenario: Later seeds of a cut draw further faults in series
    Then seeds 1 to 100 of a cut draw none of the faults in series
    And seeds 101 to 200 of a cut draw each of them
    And seeds 1 to 200 of a cut draw no pauses
    And seeds 201 to 220 draw pauses and servers that start again, some without a cut

  # Guards against one row of another writer that keeps instances from reading a table, and against
  # answers that are taken for whole since their head ended with the connection.
  Scenario: Odd rows come and answers are broken off within their head, and all instances are killed
    When these faults are played with seed 7 for 9 seconds with 4 instances
      | kind      | target             | at  | seconds | strength |
      | odd-rows  | rows               | 0.5 | 6.0     | 1        |
      | cut-heads | desk               | 1.0 | 5.0     | 0.3      |
      | cut-heads | llm                | 1.0 | 5.0     | 0.3      |
      | kill      | a-1, a-2, b-1, b-2 | 2.5 | 1.0     | 1        |
    Then every promise is kept
    And at least 100 requests were served

  # Guards against answers that look complete while a part of their body is missing, since the end of
  # a connection was taken for the end of a body that had no length.
  Scenario: Answers are broken off within their body, have no length or come twice
    When these faults are played with seed 7 for 9 seconds with 4 instances
      | kind       | target | at  | seconds | strength |
      | cut-bodies | desk   | 0.5 | 6.5     | 0.5      |
    Then every promise is kept
    And at least 30 answers were broken off, and 10 others had no length
    And at least 100 requests were served

  # Guards against streams of two versions by an instance that takes those it reaches for all: one
  # that is cut off, with its data centre, does not hear of the version that a release brings.
  Scenario Outline: A data centre is cut off during a release while callers resume streams
    When these faults are played with seed 7 for 11 seconds with 4 instances
      | kind          | target   | at  | seconds | strength |
      | short-streams | callers  | 0.5 | 8.0     | 4        |
      | <kind>        | b-1, b-2 | 1.2 | 7.0     | 1        |
      | versions      | llm      | 2.0 | 7.0     | 0.4      |
    Then every promise is kept
    And at least 100 streams were resumed

    Examples:
      | kind            |
      | isolated-silent |
      | isolated-reset  |

  # Guards against streams that are unknown once the time of their first attempt is over, though later
  # attempts have brought events.
  Scenario: A data centre is cut off during a release while callers resume long streams
    When these faults are played with seed 7 for 13 seconds with 4 instances
      | kind            | target   | at  | seconds | strength |
      | long-streams    | callers  | 0.5 | 10.0    | 3        |
      | isolated-silent | b-1, b-2 | 1.2 | 7.0     | 1        |
      | versions        | llm      | 2.0 | 7.0     | 0.4      |
    Then every promise is kept

  # Guards against streams of two versions by a list of servers that is older than a server's start.
  Scenario: Servers start again at another version while a data centre is cut off
    When these faults are played with seed 7 for 12 seconds with 4 instances
      | kind            | target   | at  | seconds | strength |
      | short-streams   | callers  | 0.5 | 9.0     | 4        |
      | versions        | llm      | 0.6 | 9.0     | 0.4      |
      | in-place        | llm      | 0.8 | 6.0     | 1        |
      | isolated-silent | b-1, b-2 | 3.7 | 5.0     | 1        |
    Then every promise is kept
    And at least 60 streams were resumed

  # Guards against checks that take a fault for earlier than it was: a kill 0.2 s late was taken for
  # one before the first event of a stream.
  Scenario: A fault that is injected late counts from then
    Given a play with a fault of the store at second 0
    When the fault is injected 0.2 s late
    Then it counts from second 0.2 on, and is as long as before

  # Guards against requests that count as given up since the instances were stopped under them: the
  # callers of a fault went on after the traffic had ended.
  Scenario: The callers of a fault end with the traffic
    When long streams are requested for longer than a play of one instance lasts
    Then no request was recorded after the traffic had ended

  # Guards against servers that outlive a soak: one that had started again under its name was taken
  # from the list in place of the one before, so that nothing stopped it and its address stayed in use.
  Scenario: A server that announced that it leaves starts again under its name
    Given a play without faults
    When a server that announced that it leaves starts again under its name before it leaves
    Then the one that started is still in use, and nothing listens there once the play has ended

  # Guards against links across a cut: a connection that was being opened as it began stayed open.
  Scenario: A connection that is being opened as a cut begins is reset
    Given a proxy for what others relay to an instance
    When a-1 is cut off while it opens a connection
    Then the connection of a-1 is reset

  # Guards against resets that a reader takes for the end of a stream: no fault was a plain reset.
  Scenario Outline: A reader of a connection that is reset sees <what>
    Given a connection over which 4 bytes came and that its writer resets with <function>
    Then its reader sees the 4 bytes, then <what>

    Examples:
      | function         | what                  |
      | reset_connection | a reset               |
      | end_and_reset    | the end of the stream |

  # Guards against streams that a soak misses since requests that are relayed cross its cuts.
  Scenario: A cut reaches the requests that instances relay
    Given a proxy for what others relay to an instance
    And open connections of a-1 and b-1
    When a-1 is cut off
    Then the connection of a-1 is reset
    And that of b-1 passes bytes on

  Scenario: Servers that crash if they reject many requests are not overfilled
    When these faults are played with seed 7 for 12 seconds with 4 instances
      | kind    | target | at  | seconds | strength |
      | fragile | enc    | 1.0 | 10.0    | 1        |
      | fragile | desk   | 1.0 | 10.0    | 1        |
    Then every promise is kept

  # Guards against answers lost to silent servers (docs/incidents): an attempt was given up before it
  # was known whether another one is allowed.
  Scenario: Servers that are silent for a moment lose no request beside changes and restarts
    When these faults are played with seed 7 for 8 seconds with 4 instances
      | kind            | target         | at  | seconds | strength |
      | silent          | desk, llm, enc | 0.1 | 4.0     | 1        |
      | silent-together | llm            | 4.5 | 3.0     | 1        |
      | storm           | configuration  | 1.0 | 2.0     | 1        |
      | storm           | configuration  | 4.5 | 2.0     | 1        |
      | reload          | a-1            | 1.0 | 0.5     | 1        |
      | reload          | a-2            | 1.5 | 0.5     | 1        |
      | reload          | b-1            | 2.0 | 0.5     | 1        |
      | reload          | b-2            | 2.5 | 0.5     | 1        |
      | restart         | b-1            | 3.0 | 1.0     | 1        |
    Then every promise is kept

  Scenario: Servers are replaced by another version while instances are killed
    When these faults are played with seed 7 for 12 seconds with 4 instances
      | kind     | target | at  | seconds | strength |
      | versions | llm    | 1.0 | 8.0     | 0.4      |
      | kill     | a-1    | 2.5 | 1.0     | 1        |
      | kill     | b-1    | 4.5 | 1.0     | 1        |
      | kill     | a-2    | 6.5 | 1.0     | 1        |
    Then every promise is kept
    And at least 40 streams were resumed

  # Guards against an event that is missing or comes twice, and an end that looks complete, at servers
  # that ignore Last-Event-Id, send events again, or give neither a length nor chunks.
  Scenario: Servers send streams oddly while callers resume them and instances are killed
    When these faults are played with seed 7 for 10 seconds with 4 instances
      | kind        | target | at  | seconds | strength |
      | odd-streams | llm    | 0.5 | 7.0     | 0.4      |
      | versions    | llm    | 1.0 | 6.0     | 0.3      |
      | kill        | a-1    | 2.5 | 1.0     | 1        |
      | kill        | b-1    | 4.5 | 1.0     | 1        |
    Then every promise is kept
    And at least 30 streams were resumed

  # Guards against streams of two versions after a loss of all instances, and against the loss of all
  # streams with them.
  Scenario Outline: All instances are killed in a release while callers read long streams
    When these faults are played with seed 7 for 13 seconds with 4 instances
      | kind         | target  | at  | seconds    | strength |
      | long-streams | callers | 0.5 | 9.0        | 1        |
      | versions     | llm     | 1.0 | <duration> | 0.2      |
      | kill         | all     | 4.9 | 1.0        | 1        |
      | kill         | all     | 6.3 | 1.0        | 1        |
    Then every promise is kept
    And at least <whole> streams that were resumed are whole

    Examples:
      | duration | whole |
      | 3.0      | 1     |
      | 7.0      | 3     |

  Scenario: All instances are killed while callers read long streams of one version
    When these faults are played with seed 7 for 13 seconds with 4 instances
      | kind         | target  | at  | seconds | strength |
      | long-streams | callers | 0.5 | 9.0     | 1        |
      | kill         | all     | 4.0 | 1.0     | 1        |
      | kill         | all     | 5.4 | 1.0     | 1        |
    Then every promise is kept
    And at least 8 streams that were resumed are whole

  Scenario: Callers that read nothing for seconds are cut, and harm neither memory nor others
    When these faults are played with seed 7 for 11 seconds with 2 instances
      | kind            | target  | at  | seconds | strength |
      | stalled-callers | callers | 1.0 | 8.0     | 80       |
    Then every promise is kept
    And at least 10 slow readers were cut

  Scenario: Slow callers and servers that read bodies slowly keep every promise
    When these faults are played with seed 7 for 10 seconds with 2 instances
      | kind         | target  | at  | seconds | strength |
      | slow-callers | callers | 1.0 | 4.0     | 20       |
      | slow-body    | desk    | 1.0 | 6.0     | 1        |
      | slow-body    | llm     | 1.0 | 6.0     | 1        |
    Then every promise is kept
    And at least 3 streams were read whole by slow callers

  Scenario: Servers that end unread responses leave the order of events intact
    When these faults are played with seed 7 for 10 seconds with 2 instances
      | kind            | target  | at  | seconds | strength |
      | stalled-callers | callers | 1.0 | 8.0     | 20       |
      | unread-ended    | llm     | 1.0 | 8.0     | 1        |
    Then every promise is kept
    And servers ended at least 1 unread response

  Scenario: Many whole answers that stay unread at once keep the memory within its limit
    When these faults are played at once with seed 7 for 6 seconds with 2 instances
      | kind            | target  | at  | seconds | strength |
      | stalled-callers | callers | 1.0 | 8.0     | 60       |
    Then every promise is kept

  Scenario: Requests are served while one instance gets most new connections
    When these faults are played with seed 7 for 16 seconds with 4 instances
      | kind    | target | at  | seconds | strength |
      | skewed  | a-1    | 5.0 | 8.0     | 0.9      |
      | pause   | a-1    | 9.0 | 1.5     | 1        |
    Then every promise is kept

  Scenario: A request that arrives while a process starts waits for the configuration
    Given a slow store, and an instance as a process
    When a request for a known route arrives as soon as its socket listens
    Then it is answered with 200

  Scenario: A process that starts without a store refuses a request with a Retry-After
    Given a store that is down, and an instance as a process
    When a request for a known route arrives as soon as its socket listens
    Then it is answered with 503 and a Retry-After

  Scenario: A reload signal during the start does not end the process
    Given a slow store, and an instance as a process
    When it gets a reload signal as soon as its socket listens
    And a request for a known route arrives as soon as its socket listens
    Then it is answered with 200

  # Guards against a process that no stop of the soak finds: two faults each started one.
  Scenario: An instance that is replaced while its next process starts is started once
    Given a store that is down, and an instance as a process
    When it is killed, and asked to shut down while its next process starts
    Then it has had 2 processes

  Scenario: A soak that is terminated leaves no process behind
    Given a soak that has started its instances
    When the soak is terminated
    Then none of its instances is running
