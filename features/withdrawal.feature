@forwarding
Feature: Work that nobody waits for any more
  # In a burst callers leave while their requests wait for stage servers, and instances end. What is
  # made for them all the same takes calls and room for results from those who still wait; a call
  # here takes 150 ms and 10 ms a piece, and a result is kept for four seconds unless it is given up.
  Background:
    Given a forwarding fleet of instances a-1, a-2, b-1
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And stage servers enc-1, enc-2 of service enc

  Scenario Outline: A caller leaves while its pieces wait
    Given 2 full calls to enc that are due first
    When the caller of staged request r leaves after 100 ms, <where> its pieces meet
    And 5 ms go by
    Then no piece of r counts as waiting
    When 3000 ms go by
    Then 0 pieces of r were made
    And every result was given up once
    And no batcher remembers a piece

    Examples:
      | where          |
      | where          |
      | not where      |

  Scenario Outline: A caller leaves while its pieces are made
    When the caller of staged request r leaves after 80 ms, <where> its pieces meet
    And 3000 ms go by
    Then 1 pieces of r were made
    And request r was sent to no model server
    And every result was given up once
    And no batcher remembers a piece

    Examples:
      | where          |
      | where          |
      | not where      |

  Scenario Outline: A caller leaves while its second stage waits
    Given 4 full calls to enc that are due first, from 10 ms on
    When the caller of staged request r leaves after 200 ms, <where> its pieces meet
    And 3000 ms go by
    Then 1 pieces of r were made
    And every result was given up once
    And no batcher remembers a piece

    Examples:
      | where          |
      | where          |
      | not where      |

  Scenario Outline: A caller leaves while some of its pieces are made and others wait
    Given 1 full calls to enc that are due first
    When the caller of staged request r with 10 pieces leaves after 240 ms, <where> its pieces meet
    And 3000 ms go by
    Then 10 pieces of r were made
    And every result was given up once
    And no batcher remembers a piece

    Examples:
      | where          |
      | where          |
      | not where      |

  Scenario: A caller leaves while its results are on their way
    When the caller of staged request r leaves after 160.75 ms, not where its pieces meet
    And 3000 ms go by
    Then 1 pieces of r were made
    And every result was given up once
    And no batcher remembers a piece

  Scenario: An instance ends while pieces of its requests wait elsewhere
    Given 2 full calls to enc that are due first
    When an instance with staged request r, whose pieces meet elsewhere, ends after 100 ms
    And 3000 ms go by
    Then 0 pieces of r were made
    And no batcher remembers a piece

  Scenario Outline: Pieces are not made once their deadline has passed
    Given 2 full calls to enc that are due first
    When a stage with a deadline in 100 ms is handed over, <where> its pieces meet
    And 1000 ms go by
    Then 0 pieces of r were made
    And the stage was settled as late

    Examples:
      | where          |
      | where          |
      | not where      |

  Scenario: A caller leaves while its prompt waits for a server
    Given messages between instances take 25 ms
    When the caller of a prompt leaves after 30 ms, not where prompts meet
    And 1000 ms go by
    Then no server is taken to be reading a prompt
