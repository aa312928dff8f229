@virtual
Feature: Retries, streams and answers
  Background:
    Given a fleet of instances a-1

  Scenario: A request runs through every stage
    When "a-1" is sent "reply" as "one"
    Then "one" ends as done
    And "one" has tokens 1 to 8 once each
    And "encode" ran 1 times

  Scenario: A failed idempotent stage is run again on another server
    Given the server small-1 has faults {"fail": 100}
    And the server small-2 has faults {"fail": 0}
    When "a-1" is sent "reply" as "one"
    Then "one" ends as done
    And "one" has tokens 1 to 8 once each

  Scenario: A stream that is cut is resumed without a repeated or missing token
    Given the server large-1 has faults {"cut_after": 3}
    And the server large-2 has faults {"cut_after": 3}
    When "a-1" is sent "reply" as "one"
    Then "one" ends as done
    And "one" has tokens 1 to 8 once each
    And instance a-1 counted "resumed" 2 times

  Scenario: Repeated events reach the caller once
    Given the server large-1 has faults {"repeat_event": true}
    And the server large-2 has faults {"repeat_event": true}
    When "a-1" is sent "reply" as "one"
    Then "one" has tokens 1 to 8 once each

  Scenario: A stalled engine is abandoned in time for another one
    Given the server large-1 has faults {"stall": true}
    When "a-1" is sent "reply" as "one"
    Then "one" ends as done
    And "one" has tokens 1 to 8 once each

  # Guards against an attempt that is given up for the silence of its server when no retry is allowed:
  # its caller gets an error with most of its time left.
  Scenario Outline: An attempt is kept while its server is silent and no retry is allowed
    Given the servers of <servers> are silent from <from> ms to <until> ms
    And the retry budget of every stage is spent
    When "a-1" is sent "reply" as "one" with {"deadline_ms": 6000}
    Then "one" ends as done
    And "one" has tokens 1 to 8 once each
    And "<stage>" ran 1 times

    Examples: A whole result, a first token and a further token
      | servers | from | until | stage    |
      | small   | 5    | 1600  | encode   |
      | large   | 5    | 2600  | generate |
      | large   | 30   | 1800  | generate |

  Scenario: An answer to another attempt is never delivered
    Given the server large-1 has faults {"foreign": true}
    And the server large-2 has faults {"foreign": true}
    When "a-1" is sent "reply" as "one"
    Then "one" ends as failed 3010

  Scenario: A malformed answer is not forwarded
    Given the server small-1 has faults {"garbage": true}
    And the server small-2 has faults {"garbage": true}
    When "a-1" is sent "reply" as "one"
    Then "one" ends as failed 3004

  Scenario: A request that reaches no server ends as not run
    Given the server small-1 has faults {"down": true}
    And the server small-2 has faults {"down": true}
    When "a-1" is sent "reply" as "one"
    Then "one" ends as not_run 2008
    And "encode" ran 0 times

  Scenario: A deadline that passes during a stage ends the request at once
    Given the server large-1 has faults {"slowness": 1000}
    And the server large-2 has faults {"slowness": 1000}
    When "a-1" is sent "reply" as "one" with {"deadline_ms": 900}
    Then "one" ends as failed 3002
    And "one" took less than 950 ms

  Scenario: Retries of a failing stage stay within the budget
    Given the server small-1 has faults {"fail": 1000}
    And the server small-2 has faults {"fail": 1000}
    When 40 requests are sent to "a-1" for "reply", one every 20 ms
    Then the stage failures were retried at most 12 times

  Scenario: A server that announces that it is leaving gets no more work
    Given the server small-1 has faults {"draining": true}
    When 20 requests are sent to "a-1" for "reply", one every 20 ms
    Then every one of them is done
    And "encode" never ran on small-1
    And instance a-1 counted "retried.server_refused" 1 times
