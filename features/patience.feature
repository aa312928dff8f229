Feature: Streams are not held until their callers leave
  # The failure: 83 requests of one kind were held by fully loaded stage services until their callers
  # left. They had waited for the whole time, and no server had been sent their requests.

  Scenario Outline: A stream is held until shortly before its caller leaves
    # The stages end before the request does, so that it is known whether any piece was begun.
    Given a <kind> request with a latency target of 600 ms that is allowed <allowed> ms
    And <state>
    Then it must have been sent to a server by <deadline>, and its stages end by <end>

    Examples:
      | kind   | allowed | state                          | deadline | end  |
      | stream | 6000    | the patience of callers counts | 2300     | 2200 |
      | stream | 1500    | the patience of callers counts | 1500     | 1400 |
      | stream | 6000    | its first event has arrived    | 6000     | inf  |
      | stream | 6000    | admit_pipeline is switched off | 6000     | inf  |
      | safe   | 6000    | the patience of callers counts | 6000     | inf  |

  Scenario Outline: A request whose stages end with its caller's patience is only refused if none has run
    # The failure: all of them ended as failed, so that their callers did not retry them. A refusal
    # states that nothing has run, so one piece that may have run must prevent it.
    Given a stream with two initial stages that end at 2200 ms, and a third after the second
    When the first stage <first> and the second <second>
    Then it ends as <outcome> at <ms> ms

    Examples:
      | first                | second               | outcome     | ms   |
      | is never begun       | is never begun       | refused     | 2200 |
      | is never begun       | is begun and cut off | failed 3002 | 2200 |
      | is begun and cut off | is never begun       | failed 3002 | 2200 |
      | is never begun       | is done in 500 ms    | failed 3002 | 2200 |
      | is never begun       | is done in 2250 ms   | failed 3002 | 2250 |
      | is never begun       | does not come back   | failed 3002 | 2300 |
      | has no pieces        | is never begun       | refused     | 1200 |
      | is done in 500 ms    | is done in 700 ms    | done        | 1400 |

  Scenario: A stage that ends as it is submitted does not count as open
    # The failure: it counted as open for ever, so that a request of which nothing had run waited until
    # its deadline and ended as failed.
    Given a stream with two initial stages that end at 2200 ms, and a third after the second
    When both are submitted at 2250 ms, the second to a coordinator on the same instance
    Then it ends as refused at 2255 ms

  @forwarding
  Scenario: A stream held by busy stage servers is refused just before its caller leaves
    Given a fleet whose callers wait 2400 ms for streams with two initial stages, and 6000 ms in all
    And its stage servers are busy for 5000 ms with calls that are expected to end soon
    When request r of a held stream is sent to a-1
    Then request r ends between 2200 and 2350 ms as refused 2001
    And no piece of it has run, and none is waiting
    And line held-too-long says that it was refused
    And 1 requests count as held_too_long

  @forwarding
  Scenario: With admit_pipeline off such a stream is held until its deadline
    Given admit_pipeline is off
    And a fleet whose callers wait 2400 ms for streams with two initial stages, and 6000 ms in all
    And its stage servers are busy for 9000 ms with calls that are expected to end soon
    When request r of a held stream is sent to a-1
    Then request r ends between 5900 and 6100 ms as failed 3002

  @forwarding
  Scenario: A stream whose coordinator does not report its stages ends before its caller leaves
    # Nothing is known of its pieces, so that it must not be refused.
    Given a fleet whose callers wait 2400 ms for streams with two initial stages, and 6000 ms in all
    And nothing comes back of the stages that a-1 hands over
    When request r of a held stream is sent to a-1
    Then request r ends between 2290 and 2310 ms as failed 3002

  @forwarding
  Scenario: Patience limits a stream up to its first event only
    # The failure: streams that break later would not be resumed, as if their callers had left.
    Given a fleet whose callers wait 2400 ms for streams with two initial stages, and 6000 ms in all
    When a stream is answered by a-1, and its waits for a quarantine are recorded
    Then it was allowed to wait for less than 2300 ms
    And after its first event it may be held until its deadline

  @forwarding
  Scenario: A stream does not wait for its model servers until its caller leaves
    # The failure: once its stages have run, a request waited for three quarters of the time up to its
    # deadline while servers asked for rest.
    Given a fleet whose callers wait 2400 ms for streams with two initial stages, and 6000 ms in all
    And its model servers ask all instances to back off for 3000 ms once the stages run
    When request r of a held stream is sent to a-1
    Then request r ends between 100 and 1000 ms as failed 3001
    And no model server was sent it

  @forwarding
  Scenario: A stream whose first stage is given up as it is submitted begins no other stage
    # The failure: an instance that coordinates its stages itself gave up the first one at once, began
    # the second one, and refused the request as not executed. A body that takes longer to arrive than
    # a stage may wait is enough, since time counts from the head of the request.
    Given a fleet whose callers wait 2400 ms for streams with two initial stages, and 6000 ms in all
    When request r of a stream whose body took 1300 ms is sent to the coordinator of its stages
    Then request r ends between 1300 and 1400 ms as refused 2001
    And no piece of it has run, and none is waiting

  @forwarding
  Scenario: The retry time of a held stream counts the model servers that it was to be sent to
    # The failure: it was given for those of the route's main target, whatever target was drawn.
    Given a fleet whose callers wait 2400 ms for streams with two initial stages, and 6000 ms in all
    And a held stream for service big, whose servers keep prompts waiting for 900 ms and others for 0 ms
    Then the time to retry after its late refusal counts 900 ms for model servers

  @forwarding
  Scenario Outline: The time that a request's body took counts when it is admitted
    # The failure: callers count from when they send a request. One with a slow body was admitted as if
    # it had just been sent, and held until its caller was about to leave.
    Given a fleet whose callers wait 2400 ms for streams with two initial stages, and 6000 ms in all
    And model servers are expected to keep prompts waiting for 500 ms
    When request r of a stream whose body took <body> ms is sent to the coordinator of its stages
    Then request r was <outcome> at its admission

    Examples:
      | body | outcome              |
      | 0    | admitted             |
      | 1900 | refused for patience |
