@forwarding
Feature: Servers that have crashed
  # Guards against each instance finding out by itself that a server has crashed, as when a quarter of
  # the model servers crash at once. A crashed server has no prompt to prefill and so is the first
  # choice of an instance that does not know of the crash. With hundreds of instances each sends it a
  # request before all know, and one request meets several such servers in a row.
  Background:
    Given a forwarding fleet of instances a-1, a-2, b-1, b-2, c-1, c-2
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm

  Scenario: After one report the placement coordinator avoids a server for all instances
    Given a placement coordinator that knows servers llm-1, llm-2, llm-3
    When an instance reports the server of its prompt as unreachable
    Then the next 5 prompts go to other servers
    When 1300 ms go by at the placement coordinator
    Then 1 of the next 5 prompts tries it again

  Scenario Outline: A crashed server is detected by one request, not by one of each instance
    Given server llm-1 has fault "<fault>"
    When 3 stream requests are sent to each instance within 300 ms
    Then server llm-1 was sent at most 3 requests

    Examples:
      | fault       |
      | unreachable |
      | replaced    |

  Scenario: Servers that are unreachable do not use up a request's attempts
    Given 6 further servers of service llm
    And the first 6 servers that a request is sent to are unreachable
    When stream request r is sent to a-1
    Then request r ends with status 200
