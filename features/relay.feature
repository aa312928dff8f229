Feature: Requests are sent from one instance to another over HTTP
  # Guards against changing a request or its answer on the way through an instance that reaches no
  # backend server, and against losing what tells whether it has run.
  Scenario: A request and its answer pass unchanged
    Given another instance whose forwarder answers "fine"
    When a request is relayed to it that has waited for 250 ms
    Then it runs the caller's request, with the deadline and the arrival that it had
    And the answer is its server's, signed, with body "answer to r1"

  Scenario: A stream passes event by event
    Given another instance whose forwarder answers "a slow stream"
    When a request is relayed to it that has waited for 0 ms
    Then its events arrive one by one

  Scenario: A stream that is cut does not look complete
    Given another instance whose forwarder answers "a cut stream"
    When a request is relayed to it that has waited for 0 ms
    Then reading the answer fails after its first event

  Scenario: A refusal of the other instance tells when to return
    Given another instance whose forwarder answers "a refusal"
    When a request is relayed to it that has waited for 0 ms
    Then the answer is unsigned, with status 503 and Retry-After 1.25

  Scenario: An instance that cannot run requests declines them
    Given another instance whose forwarder answers "fine"
    And it accepts no relayed requests
    When a request is relayed to it that has waited for 0 ms
    Then it is declined, and has not run

  Scenario: An instance that does not listen has not run the request
    Given another instance that does not listen
    When a request is relayed to it that has waited for 0 ms
    Then it fails and has not run

  Scenario: A connection that breaks leaves open whether the request has run
    Given another instance that breaks the connection after it has read the request
    When a request is relayed to it that has waited for 0 ms
    Then it fails and may have run

  Scenario: A caller that leaves ends the work of the other instance
    Given another instance whose forwarder answers "nothing yet"
    When a request is relayed to it whose caller leaves after 200 ms
    Then the work on it is cancelled within 500 ms

  Scenario: A caller cannot tell how long its request has waited
    When a caller's request names the header of relayed requests
    Then the header is not passed on
