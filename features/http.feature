@http
Feature: The HTTP interfaces of an instance, over real sockets
  Background:
    Given instances a-1 and b-1 over HTTP

  Scenario Outline: A malformed request gets its numbered problem document
    When "<method> <path>" is sent with headers <headers> and body <body>
    Then the status is <status> and the problem is <code> of class <class>

    Examples:
      | method | path                | headers                          | body                           | status | code | class   |
      | POST   | /v1/pipelines/reply | {}                               | {"input": 1}                   | 401    | 1002 | not_run |
      | POST   | /v1/pipelines/reply | {"Authorization": "Bearer no"}   | {"input": 1}                   | 401    | 1002 | not_run |
      | POST   | /v1/pipelines/nope  | {"Authorization": "Bearer token"} | {"input": 1}                  | 404    | 1003 | not_run |
      | POST   | /v1/pipelines/reply | {"Authorization": "Bearer token"} | {"input": 1                   | 400    | 1001 | not_run |
      | POST   | /v1/pipelines/reply | {"Authorization": "Bearer token"} | [1]                           | 400    | 1001 | not_run |
      | POST   | /v1/pipelines/reply | {"Authorization": "Bearer token"} | {"input": 1, "x": 2}          | 400    | 1001 | not_run |
      | POST   | /v1/pipelines/reply | {"Authorization": "Bearer token"} | {"input": 1, "deadline_ms": "soon"} | 400 | 1001 | not_run |
      | POST   | /v1/pipelines/reply | {"Authorization": "Bearer token"} | {"input": 1, "deadline_ms": -5} | 400  | 1001 | not_run |
      | POST   | /v1/pipelines/reply | {"Authorization": "Bearer token"} | {"input": 1, "idempotent": 3} | 400    | 1001 | not_run |
      | POST   | /v1/pipelines/push  | {"Authorization": "Bearer token"} | {"input": 1}                  | 400    | 1004 | not_run |
      | POST   | /v1/pipelines/push  | {"Authorization": "Bearer token", "Idempotency-Key": "a b"} | {"input": 1} | 400 | 1007 | not_run |
      | POST   | /v1/pipelines/push  | {"Authorization": "Bearer token", "Idempotency-Key": "ml1~x~y~1~2~forged"} | {"input": 1} | 400 | 1007 | not_run |
      | POST   | /v1/keys?count=0    | {"Authorization": "Bearer token"} | {}                            | 400    | 1001 | not_run |
      | POST   | /v1/keys            | {}                               | {}                             | 401    | 1002 | not_run |
      | GET    | /ops/explain/none   | {}                               | nothing                        | 404    | 1011 | not_run |
      | GET    | /nowhere            | {}                               | nothing                        | 404    | 1011 | not_run |

  Scenario: A body that is too large is refused
    When a body of 2000000 bytes is sent to a-1
    Then the status is 413 and the problem is 1006 of class not_run

  Scenario: A streamed answer ends with a final event
    When a stream of 12 tokens is requested from a-1
    Then the stream holds tokens 1 to 12 and ends with the event done

  Scenario: A complete answer names the server of each stage
    When a complete answer is requested from a-1
    Then the answer names a server and a time for stages encode, generate

  Scenario: A caller that disconnects cancels its call at the backend server
    When a caller disconnects from a-1 after 2 of 2000 tokens
    Then the call is cancelled at its server

  Scenario: A caller that disconnects does not cancel a request that must not be repeated
    Given every backend server takes 300 ms longer
    When a push with key "k" is sent to a-1 and its caller disconnects
    Then a repeat with key "k" at b-1 is answered in the end
    And "push" was run 1 time

  Scenario: Lost, malformed and foreign answers over HTTP
    Given the servers of role small fail as {"lose_answers": 1}
    When a complete answer is requested from a-1
    Then the answer names a server and a time for stages encode, generate
    Given the servers of role small fail as {"garbage": true}
    When a complete answer is requested from a-1
    Then the status is 502 and the problem is 3004 of class failed
    Given the servers of role small fail as {"foreign": true}
    When a complete answer is requested from b-1
    Then the status is 502 and the problem is 3010 of class failed

  # Guards against an answer that is given up while its servers are silent and no retry is allowed.
  Scenario Outline: An answer is awaited over HTTP while its servers are silent
    Given no stage may be retried at a-1
    And the servers of role <role> are silent for 1500 ms from <from> ms on
    When a stream of 12 tokens is requested from a-1
    Then the stream holds tokens 1 to 12 and ends with the event done

    Examples:
      | role  | from |
      | small | 0    |
      | large | 0    |
      | large | 60   |

  Scenario: A key that one instance issued is accepted by another
    When a push is sent to b-1 with a key that a-1 issued, and again to a-1
    Then both have the same answer
    And "push" was run 1 time

  Scenario: A graceful shutdown aborts no request in progress
    When a-1 is shut down during a stream of 60 tokens
    Then the stream holds tokens 1 to 60 and ends with the event done
    And a-1 aborted 0 requests

  Scenario: Peers without the fleet's secret are refused
    When a peer with another secret connects to a-1
    Then it is refused with 6001
    When 64 random bytes are sent to the peer address of a-1
    Then a-1 counts a failed peer message and still serves

  Scenario: The platform's answers are lost or malformed
    Given the answers of the platform over HTTP fail as {"lose_answers": 1}
    When a push with key "p" is sent to a-1
    Then the answer is done
    And "push" was run 1 time

  Scenario: A caller that stops reading does not stay admitted for ever
    Given a-1 drops callers that make no progress for 300 ms and has small buffers
    When a caller asks a-1 for 2000 tokens and reads nothing
    Then it is no longer admitted at a-1 and the call is cancelled at its server
