@forwarding
Feature: Servers that are gone
  # A crash takes a quarter of the model servers at once. One that is gone has nothing to read, so that
  # it is the first choice of whoever does not know; in a fleet of hundreds each instance sends it a
  # request of its own before all know, and a request meets several such servers in a row.
  Background:
    Given a forwarding fleet of instances a-1, a-2, b-1, b-2, c-1, c-2
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm

  Scenario: What one instance learns of a server, the others are spared
    Given prompts meet at an instance that knows servers llm-1, llm-2, llm-3
    When an instance could not reach the server of its prompt
    Then the next 5 prompts go to other servers
    When 1300 ms go by where prompts meet
    Then 1 of the next 5 prompts tries it again

  Scenario Outline: A server that is gone is found so by one request, not by one of each instance
    Given server llm-1 has fault "<fault>"
    When 3 stream requests are sent to each instance within 300 ms
    Then server llm-1 was sent at most 3 requests

    Examples:
      | fault       |
      | unreachable |
      | replaced    |

  Scenario: Servers that take no connection do not use up a request's sendings
    Given 6 further servers of service llm
    And the first 6 servers that a request is sent to take no connection
    When stream request r is sent to a-1
    Then request r ends with status 200
