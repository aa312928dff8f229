@forwarding
Feature: Batching of the pieces of stages
  Background:
    Given a forwarding fleet of instances a-1, a-2, b-1
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And stage servers enc-1, enc-2 of service enc

  Scenario: Pieces of requests from all instances share calls
    When 6 staged requests come at once over all instances
    Then every staged request ends with status 200
    And at most 8 calls carried all 12 pieces
    And no piece ran twice

  Scenario: A request gets the results of its own stages only
    When 6 staged requests come at once over all instances
    Then each request was sent with the handles of its own pieces

  Scenario: The coordinator of a service becomes unreachable
    Given the coordinator of service enc is cut off from its peers
    When a staged request is sent to another instance
    Then every staged request ends with status 200
    And it took at most 2000 ms

  Scenario Outline: A stage server fails
    Given server enc-1 has fault "<fault>"
    When 4 staged requests come at once over all instances
    Then every staged request ends with status 200

    Examples:
      | fault       |
      | unreachable |
      | full        |
      | replaced    |
      | silent      |
      | no room     |
      | slow        |

  Scenario: Results are released once the request has its first event
    When 2 staged requests come at once over all instances
    And 500 ms go by
    Then every result was released

  Scenario: A request that cannot be on time is refused before any work, with a time to retry
    When 90 staged requests come within 900 ms over all instances
    Then some staged requests are refused with 2001 at once and name a time to retry
    And no piece of a refused request ran

  Scenario: A request whose stages fail for good ends as failed, not as refused
    Given server enc-1 has fault "silent"
    And server enc-2 has fault "silent"
    When a staged request is sent to a-1
    Then the staged request ends with class failed

  Scenario: Pieces on a slow server are sent to a second server as well
    Given server enc-1 has fault "slow"
    When 4 staged requests come at once over all instances
    Then every staged request ends with status 200
    And it took at most 1900 ms
    When 3000 ms go by
    Then every result was released once
    And no batcher holds a piece or a result

  Scenario: A stage gets the results of the stages it depends on, and no others
    Given a route whose third stage depends on the second of two initial stages
    When its stages run with 2, 3 and 1 pieces
    Then the third stage gets the 3 results of the second
