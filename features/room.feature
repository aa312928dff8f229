@forwarding
Feature: Result memory of servers, and the measured rate of pieces
  Background:
    Given a forwarding fleet of instances a-1, a-2, b-1
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And stage servers enc-1, enc-2 of service enc

  Scenario: A resumable stream also releases its results at its first event
    When the first event of a lasting request to a-1 has arrived
    And 60 ms go by
    Then every result was released

  Scenario: A resumed stream runs its stages again, since their results were released
    Given the instances have received requests before
    And the stream of the first server that runs request r is cut after its first events
    When lasting request r is sent to a-1
    Then request r was answered completely by 2 servers
    And each of its stages ran twice

  Scenario Outline: Pieces wait for a server near their inputs while their due time allows
    Given a piece with its inputs in data centre a that is due in <due> ms
    Then after 10 ms a free server of data centre b <takes> it

    Examples:
      | due  | takes         |
      | 1000 | does not take |
      | 360  | does not take |
      | 350  | takes         |
      | 165  | takes         |
      | 155  | does not take |
      | -100 | does not take |

  Scenario: A server without free memory counts as full, decreasingly over time
    Given a server with result memory of 100 bytes, 30 of them known to be in use
    When it is found full, with results kept for 4000 ms
    Then 100 bytes are considered in use there
    When 1000 ms go by
    Then 82.5 bytes are considered in use there
    When 3000 ms go by
    Then 30 bytes are considered in use there

  Scenario: The rate is measured only after pieces have waited for some time
    Given 10 pieces are completed every 250 ms
    When 2000 ms go by
    Then no rate is measured
    When pieces begin to wait and 1500 ms go by
    Then the measured rate is 0.04 pieces a millisecond
    When no pieces wait any more
    Then no rate is measured

  Scenario: Expected waits use the measured rate where it is lower than the nominal one
    Given 80 pieces wait for service enc at its coordinator
    And its servers have completed 4 pieces in each 250 ms for 2500 ms
    Then new pieces are expected to wait for at least 3000 ms

  Scenario: A retried request keeps the rank of its route
    When a request with stages was served by a-1
    And the same request is retried at a-1 with half of its time
    Then it has the rank of its route

  Scenario: A server with an overdue call gets one small further call at once
    Given a call with 8 pieces to enc-1 that is overdue
    Then enc-1 may be sent 2 pieces in one more call
    When enc-1 answers that call
    Then enc-1 may be sent 8 pieces in one more call
    And it stays in use when the overdue call fails

  Scenario: A server that answers neither call gets no more calls
    Given a call with 8 pieces to enc-1 that is overdue
    When enc-1 is sent one more call that is overdue as well
    Then enc-1 may be sent nothing more
    And it is taken out of use when the overdue call fails

  Scenario: Results of an unanswered call count as memory in use until they expire
    Given a server with result memory of 100 bytes, 30 of them known to be in use
    When results of 20 bytes are lost there for 4000 ms
    And 3900 ms go by
    Then 50 bytes are considered in use there
    When 200 ms go by
    Then 30 bytes are considered in use there
