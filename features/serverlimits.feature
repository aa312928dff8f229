@forwarding
Feature: Backend servers that name how much they take
  # A model server in need named one request a second from all instances together, and got 12 in
  # four seconds, where half as much again and five are borne: 11. What it names was read by nobody.
  # Each of these requests was a first sending, placed by the one instance where prompts meet, with
  # every server compared as before; nothing of it hung on a restart. The same happens at servers of
  # plain services and of stages, where each instance sends by itself, or those of a data centre.
  Background:
    Given a fleet of 8 instances in data centres a, b, c
    And 2 servers of each of the services desk, llm, enc in data centres a, b, c

  Scenario: A model server names a limit
    When server llm-1 names 1 request a second, and 60 stream requests a second come for 9000 ms
    Then no server got more than its limit allows
    And over 97 of 100 requests were answered

  Scenario: A server of a plain service names a limit
    When server desk-1 names 1 request a second, and 60 safe requests a second come for 9000 ms
    Then no server got more than its limit allows
    And over 97 of 100 requests were answered

  Scenario: A server of a stage service names a limit
    When server enc-1 names 1 request a second, and 30 staged requests a second come for 9000 ms
    Then no server got more than its limit allows
    And over 97 of 100 requests were answered
