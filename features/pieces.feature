@forwarding
Feature: Pieces of stages
  Background:
    Given a forwarding fleet of instances a-1, a-2, b-1
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And stage servers enc-1, enc-2 of service enc

  Scenario: Requests of all instances share calls
    When 6 staged requests come at once over all instances
    Then every staged request ends with status 200
    And at most 8 calls carried all 12 pieces
    And no piece was made twice

  Scenario: A request gets the results of its own stages only
    When 6 staged requests come at once over all instances
    Then each request was sent with the handles of its own pieces

  Scenario: The instance where pieces meet falls silent
    Given the instance where pieces of enc meet is cut off from its peers
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

  Scenario: Results are given up once the request has its first event
    When 2 staged requests come at once over all instances
    And 500 ms go by
    Then every result was given up

  Scenario: What cannot be in time is refused before any work, with the time to come back
    When 90 staged requests come within 900 ms over all instances
    Then some staged requests are refused with 2001 at once and say when to come back
    And no piece of a refused request was made

  Scenario: Stages that fail for good are no refusal
    Given server enc-1 has fault "silent"
    And server enc-2 has fault "silent"
    When a staged request is sent to a-1
    Then the staged request ends with class failed

  Scenario: A slow server's pieces are sent to another one as well
    Given server enc-1 has fault "slow"
    When 4 staged requests come at once over all instances
    Then every staged request ends with status 200
    And it took at most 1900 ms
    When 3000 ms go by
    Then every result was given up once
    And no batcher remembers a piece

  Scenario: A stage is given the results of the stages it follows, and no others
    Given a route whose third stage follows the second of two first ones
    When its stages run with 2, 3 and 1 pieces
    Then the third stage is given the 3 results of the second
