@virtual
Feature: Pipelines whose input crashes the servers that run it
  # Guards against an input that crashes one server after another. A stage that may be repeated was
  # sent to up to four servers by one attempt of the caller, and to four more by the next one. The
  # cause is that of quarantine.feature, for pipelines, and the same quarantine applies.

  Background:
    Given a fleet of instances a-1, a-2, b-1
    And an input that crashes every engine that runs it

  Scenario: One attempt of a caller crashes few engines
    When "a-1" is sent "reply" as "once" with {"input": {"room": 13}}
    Then "once" ends as failed 3017
    And at most 3 engines have crashed

  Scenario: Attempts at all instances crash few engines
    When the input is sent 6 times every 2000 ms, each time to the next instance
    Then at most 3 engines have crashed
    And the last 3 were refused with code 2010 before any stage

  Scenario: Other requests are served meanwhile
    When the input is sent 6 times every 2000 ms, each time to the next instance
    And "a-2" is sent "reply" as "other" with {"input": {"room": 7}}
    Then "other" ends as done
