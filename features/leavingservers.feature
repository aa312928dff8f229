@forwarding
Feature: Backend servers that say in their answers that they leave
  # While the store could take no note of it, a server said in its answers only that it leaves.
  # Instances that had been told sent it requests for as long as its entry called it ready.
  Background:
    Given a fleet of 8 instances in data centres a, b, c
    And 2 servers of each of the services desk, llm, enc in data centres a, b, c
    And the store is silent

  Scenario Outline: A server that says so gets nothing more from whom it told
    When server <server> says that it leaves, and <rate> <kind> requests a second come for 9000 ms
    Then no instance that was told sends it what came over 2000 ms later
    And over 97 of 100 requests were answered

    Examples:
      | server | kind   | rate |
      | llm-1  | stream | 60   |
      | desk-1 | safe   | 60   |
      | desk-1 | unsafe | 60   |
      | enc-1  | staged | 30   |
