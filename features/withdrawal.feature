@forwarding
Feature: Withdrawal of work that no caller waits for
  # In a burst callers leave while their requests wait for stage servers, and instances crash.
  # Pieces that still run for them take calls and result memory from requests with callers. Here a
  # call takes 150 ms and 10 ms for each piece, and a result is stored for four seconds unless
  # released.
  Background:
    Given a forwarding fleet of instances a-1, a-2, b-1
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And stage servers enc-1, enc-2 of service enc

  Scenario Outline: A caller leaves while its pieces wait
    Given 2 full calls to enc that are due first
    When the caller of staged request r to <where> leaves after 100 ms
    And 5 ms go by
    Then no piece of r counts as waiting
    When 3000 ms go by
    Then 0 pieces of r ran
    And every result was released once
    And no batcher holds a piece or a result

    Examples:
      | where            |
      | the coordinator  |
      | another instance |

  Scenario Outline: A caller leaves while its pieces run
    When the caller of staged request r to <where> leaves after 80 ms
    And 3000 ms go by
    Then 1 pieces of r ran
    And request r was sent to no model server
    And every result was released once
    And no batcher holds a piece or a result

    Examples:
      | where            |
      | the coordinator  |
      | another instance |

  Scenario Outline: A caller leaves while its second stage waits
    Given 4 full calls to enc that are due first, from 10 ms on
    When the caller of staged request r to <where> leaves after 200 ms
    And 3000 ms go by
    Then 1 pieces of r ran
    And every result was released once
    And no batcher holds a piece or a result

    Examples:
      | where            |
      | the coordinator  |
      | another instance |

  Scenario Outline: A caller leaves while some of its pieces run and others wait
    Given 1 full calls to enc that are due first
    When the caller of staged request r with 10 pieces to <where> leaves after 240 ms
    And 3000 ms go by
    Then 10 pieces of r ran
    And every result was released once
    And no batcher holds a piece or a result

    Examples:
      | where            |
      | the coordinator  |
      | another instance |

  Scenario: A caller leaves while its results are in transit
    When the caller of staged request r to another instance leaves after 160.75 ms
    And 3000 ms go by
    Then 1 pieces of r ran
    And every result was released once
    And no batcher holds a piece or a result

  Scenario: An instance crashes while pieces of its requests wait at the coordinator
    Given 2 full calls to enc that are due first
    When an instance with staged request r, which another one coordinates, crashes after 100 ms
    And 3000 ms go by
    Then 0 pieces of r ran
    And no batcher holds a piece or a result

  Scenario Outline: Pieces do not run once their deadline has passed
    Given 2 full calls to enc that are due first
    When a stage with a deadline in 100 ms is submitted to <where>
    And 1000 ms go by
    Then 0 pieces of r ran
    And the stage was settled as late

    Examples:
      | where            |
      | the coordinator  |
      | another instance |

  Scenario: A caller leaves while its prompt waits for a server
    Given messages between instances take 25 ms
    When the caller of a prompt leaves after 30 ms, not at the placement coordinator
    And 1000 ms go by
    Then no server is considered to be prefilling a prompt
