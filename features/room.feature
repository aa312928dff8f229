@forwarding
Feature: Room for results, and how fast pieces are really made
  Background:
    Given a forwarding fleet of instances a-1, a-2, b-1
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And stage servers enc-1, enc-2 of service enc

  Scenario: A stream that may be resumed gives its results up at its first event too
    When the first event of a lasting request to a-1 has come
    And 60 ms go by
    Then every result was given up

  Scenario: A resumed stream has results made again that were given up
    Given the stream of the first server that runs request r is cut after its first events
    When lasting request r is sent to a-1
    Then request r ended whole on 2 servers
    And its stages were made twice

  Scenario Outline: Pieces wait for a server near their inputs while there is time
    Given a piece wanted in data centre a that is due in <due> ms
    Then after 10 ms a free server of data centre b <takes> it

    Examples:
      | due  | takes         |
      | 1000 | does not take |
      | 360  | does not take |
      | 350  | takes         |
      | 165  | takes         |
      | 155  | does not take |
      | -100 | does not take |

  Scenario: A server that had no room is taken to be full, less and less
    Given a server with room for 100 bytes where 30 bytes are known to be in use
    When it is found full, with results kept for 4000 ms
    Then 100 bytes are taken to be in use there
    When 1000 ms go by
    Then 82.5 bytes are taken to be in use there
    When 3000 ms go by
    Then 30 bytes are taken to be in use there

  Scenario: The rate is measured only while pieces wait for long
    Given 10 pieces are made every 250 ms
    When 2000 ms go by
    Then no rate is measured
    When pieces begin to wait and 1500 ms go by
    Then the measured rate is 0.04 pieces a millisecond
    When no pieces wait any more
    Then no rate is measured

  Scenario: What pieces wait for counts the real rate where that is lower
    Given 80 pieces wait for service enc on the instance where they meet
    And its servers have made 4 pieces in each 250 ms for 2500 ms
    Then new pieces are expected to wait for at least 3000 ms

  Scenario: A request that comes back keeps its own rank
    When a request with stages was served by a-1
    And the same request comes back to a-1 with half of its time
    Then it has the rank of its route

  Scenario: A server that loses an answer is asked again at once, with few pieces
    Given a call with 8 pieces to enc-1 that is overdue
    Then enc-1 may be sent 2 pieces in one more call
    When enc-1 answers that call
    Then enc-1 may be sent 8 pieces in one more call
    And it stays in use when the overdue call fails

  Scenario: A server that answers neither call is left alone
    Given a call with 8 pieces to enc-1 that is overdue
    When enc-1 is sent one more call that is overdue as well
    Then enc-1 may be sent nothing more
    And it is taken out of use when the overdue call fails

  Scenario: Results of a call without an answer take room until they are dropped
    Given a server with room for 100 bytes where 30 bytes are known to be in use
    When results of 20 bytes are lost there for 4000 ms
    And 3900 ms go by
    Then 50 bytes are taken to be in use there
    When 200 ms go by
    Then 30 bytes are taken to be in use there
