@forwarding
Feature: Backend servers that ask for rest
  # A server refused a request of an instance and asked it for three seconds without requests, and
  # got three more from it in that time: only the third failure took it out of use, for a second.
  Background:
    Given a fleet of 8 instances in data centres a, b, c
    And 2 servers of each of the services desk, llm, enc in data centres a, b, c

  Scenario Outline: A server that refuses each second request and asks for rest is left alone
    When server <server> refuses each second request for a rest of 3000 ms, and <rate> <kind> requests a second come for 9000 ms
    Then no server gets requests from an instance within a rest it asked that one for
    And over 97 of 100 requests were answered

    Examples:
      | server | kind   | rate |
      | llm-1  | stream | 60   |
      | desk-1 | safe   | 60   |
      | desk-1 | unsafe | 60   |
      | enc-1  | staged | 30   |
