@forwarding
Feature: A new instance asks one peer at a time for the whole list of servers
  # Guards against the start of a large fleet: each new instance hears of the list from dozens of
  # peers at once, and asked all of them for hundreds of kilobytes.

  Background:
    Given links with 100 ms of latency
    And a forwarding fleet of instances a-1, a-2, a-3, a-4, b-1, b-2
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm

  Scenario: One peer sends the whole list
    When instance c-1 starts while the store is down for it, and 550 ms go by
    Then instance c-1 has asked 1 peer for the list of servers
    And instance c-1 knows servers desk-1, desk-2

  Scenario: A peer that does not answer is not waited for
    Given peers send no list of servers
    When instance c-1 starts while the store is down for it, and 1200 ms go by
    Then instance c-1 has asked 2 peers for the list of servers
    When peers send the list again, and 1500 ms go by
    Then instance c-1 knows servers desk-1, desk-2

  Scenario: Changes are still requested from each peer that announces them
    # Guards against a change that a silent peer delays: servers that leave must be known in time.
    Given instance a-1 has the whole list
    When two peers announce a change of the list to a-1 at once
    Then instance a-1 has asked 2 peers for the list of servers
