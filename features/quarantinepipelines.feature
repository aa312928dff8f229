@virtual
Feature: Pipelines whose input ends the servers that work on it
  # Seen by reading, after requests that were forwarded had ended one server after another: a stage
  # that may be repeated was sent to up to four servers by one attempt of the caller, and to four
  # more by the next one. It is the same cause, and the same book answers it.

  Background:
    Given a fleet of instances a-1, a-2, b-1
    And an input that ends every engine which works on it

  Scenario: One attempt of a caller ends few engines
    When "a-1" is sent "reply" as "once" with {"input": {"room": 13}}
    Then "once" ends as failed 3017
    And at most 3 engines have ended

  Scenario: Attempts at all instances end few engines
    When the input is sent 6 times every 2000 ms, each time to the next instance
    Then at most 3 engines have ended
    And the last 3 were refused with code 2010 before any stage

  Scenario: Others are served beside it
    When the input is sent 6 times every 2000 ms, each time to the next instance
    And "a-2" is sent "reply" as "other" with {"input": {"room": 7}}
    Then "other" ends as done
