@virtual
Feature: Non-idempotent requests run at most once
  A repeated request would run its non-idempotent stage twice when two instances accept the same
  idempotency key, when the answer of the store or of a backend server is lost, or when the record
  of the key is gone because its instance crashed or evicted it. The result is then "unknown";
  "not_run" is answered only if nothing ran.

  Background:
    Given a fleet of instances a-1, a-2, b-1

  Scenario: A non-idempotent request without a key is refused
    When "a-1" is sent "push" as "one"
    Then "one" ends as not_run 1004
    And "push" ran 0 times

  Scenario: The same key is sent to two data centres at once
    When "a-1" is sent "push" as "one" with {"key": "k"}
    And "b-1" is sent "push" as "two" with {"key": "k"}
    Then "one" ends as done
    And "two" ends as unknown 1009
    And "push" ran 1 times

  Scenario: The same key is sent to one instance twice at once
    When "a-1" is sent "push" as "one" with {"key": "k"}
    And "a-1" is sent "push" as "two" with {"key": "k"}
    Then "one" ends as done
    And "one" and "two" have the same answer
    And "push" ran 1 times

  Scenario: A repeat of a finished request gets the same answer from any instance
    When "a-1" is sent "push" as "one" with {"key": "k"}
    And 500 ms pass
    And "b-1" is sent "push" as "two" with {"key": "k"}
    Then "one" ends as done
    And "one" and "two" have the same answer
    And "push" ran 1 times

  Scenario: A key that is reused with another body is refused
    When "a-1" is sent "push" as "one" with {"key": "k"}
    And 500 ms pass
    And "b-1" is sent "push" as "two" with {"key": "k", "input": {"room": 2}}
    Then "two" ends as not_run 1005
    And "push" ran 1 times

  Scenario: The store's answer to a claim is lost
    Given the platform all has faults {"lose_answers": 1}
    When "a-1" is sent "push" as "one" with {"key": "k"}
    Then "one" ends as done
    And "push" ran 1 times

  Scenario: A key chosen by the caller is refused without running while the store is down
    Given the platform all has faults {"down": true}
    When "a-1" is sent "push" as "one" with {"key": "k", "first": true}
    Then "one" ends as not_run 2006
    And "encode" ran 0 times
    When the platform all has faults {}
    And 500 ms pass
    And "a-1" is sent "push" as "two" with {"key": "k"}
    Then "two" ends as done
    And "push" ran 1 times

  Scenario: A request with an issued key is served while the store is down
    Given the platform all has faults {"down": true}
    When "a-1" issues a key and is sent "push" with it as "one"
    And "b-1" is sent the issued key for "push" as "two"
    Then "one" ends as done
    And "two" ends as done
    And "one" and "two" have the same answer
    And "push" ran 1 times

  Scenario: An instance without a link to the platform claims through another data centre
    Given the link a-1 has faults {"down": true}
    When "a-1" is sent "push" as "one" with {"key": "k"}
    And 2000 ms pass
    And "b-1" is sent "push" as "two" with {"key": "k"}
    Then "one" ends as done
    And "one" and "two" have the same answer
    And "push" ran 1 times

  Scenario: A repeat gets unknown instead of not_run while the claim cannot be read
    When "a-1" is sent "push" as "one" with {"key": "k"}
    Then "one" ends as done
    When the platform all has faults {"down": true}
    And "b-1" is sent "push" as "two" with {"key": "k"}
    Then "two" ends as unknown 2006
    And "push" ran 1 times

  Scenario: The instance crashes while the request runs
    Given the server desk-1 has faults {"stall": true}
    And the server desk-2 has faults {"stall": true}
    When "a-1" is sent "push" as "one" with {"key": "k"}
    And 1000 ms pass
    And instance a-1 is killed
    And "b-1" is sent "push" as "two" with {"key": "k"}
    Then "two" ends as unknown 1009
    When 60000 ms pass
    And "b-1" is sent "push" as "three" with {"key": "k"}
    Then "three" ends as unknown 1010
    And "push" ran 1 times

  Scenario: The instance that issued the key crashes
    Given the server desk-1 has faults {"stall": true}
    And the server desk-2 has faults {"stall": true}
    When "a-1" issues a key and is sent "push" with it as "one"
    And 1000 ms pass
    And instance a-1 is killed
    And "b-1" is sent the issued key for "push" as "two"
    Then "two" ends as unknown 1008
    And "push" ran 1 times

  Scenario: The outcome of a non-idempotent stage is lost
    Given the server desk-1 has faults {"lose_answers": 1}
    And the server desk-2 has faults {"lose_answers": 1}
    When "a-1" is sent "push" as "one" with {"key": "k"}
    Then "one" ends as unknown 3006
    When 500 ms pass
    And "b-1" is sent "push" as "two" with {"key": "k"}
    Then "two" ends as unknown 1010
    And "push" ran 1 times

  Scenario: A repeat gets the answer of a push that outlived its deadline
    Given the server desk-1 has faults {"slow_ms": 3000}
    And the server desk-2 has faults {"slow_ms": 3000}
    When "a-1" is sent "push" as "one" with {"key": "k", "deadline_ms": 1000}
    Then "one" ends as unknown 3006
    And "one" took less than 1050 ms
    When 4000 ms pass
    And "b-1" is sent "push" as "two" with {"key": "k"}
    Then "two" ends as done
    And "push" ran 1 times

  Scenario: A refused request releases its key
    Given the server small-1 has faults {"down": true}
    And the server small-2 has faults {"down": true}
    When "a-1" is sent "push" as "one" with {"key": "k"}
    Then "one" ends as not_run 2008
    When the server small-1 has faults {}
    And the server small-2 has faults {}
    And 3000 ms pass
    And "b-1" is sent "push" as "two" with {"key": "k"}
    Then "two" ends as done
    And "push" ran 1 times

  Scenario: A request marked as non-idempotent runs no stage twice
    Given the server small-1 has faults {"lose_answers": 1}
    And the server small-2 has faults {"lose_answers": 1}
    When "a-1" is sent "reply" as "one" with {"key": "k", "idempotent": false}
    Then "one" ends as unknown 3006
    And "encode" ran 1 times

  Scenario: A request whose key record was evicted is not run again
    Given instance a-1 keeps at most 2 records of keys
    When "a-1" issues a key and is sent "push" with it as "one"
    And 100 ms pass
    And 4 more pushes with issued keys are sent to "a-1", one every 50 ms
    And "a-1" is sent the issued key for "push" as "two"
    Then "one" ends as done
    And "two" ends as unknown 1012
    And "push" ran 5 times
