@forwarding
Feature: Restarted backend servers
  # A server may restart under its old id. It has lost its memory, so that the state of its earlier
  # incarnation is wrong: cached prompt parts, memory taken by results, an open breaker, a notice
  # that it leaves. The list of servers tells incarnations apart by their start time.

  Background:
    Given a forwarding fleet of instances a-1, a-2, b-1
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm

  Scenario: A server that left and restarts under its id gets work at once
    Given every instance avoids desk-1 and desk-2, since they announced that they leave
    When server desk-1 is listed with a later start
    And 300 ms go by
    Then a request to each instance is served by desk-1

  Scenario: A restart of a server discards the state of its earlier incarnation
    Given every instance records llm-1 as slow, with cached prompt parts and 6 MB of results
    When server llm-1 is listed with a later start
    And 300 ms go by
    Then no instance records llm-1 as slow, with cached prompt parts or results

  Scenario: A server that is listed again with the same start keeps its state
    Given every instance records llm-1 as slow, with cached prompt parts and 6 MB of results
    When server llm-1 is listed again with the same start
    And 300 ms go by
    Then every instance still has this state of llm-1

  Scenario: Instances learn of a restart from a peer when their feeds are silent
    Given the change feeds of a-1 stop delivering
    When server desk-1 is listed with a later start
    And 1500 ms go by
    Then instance a-1 knows the later start of desk-1

  Scenario: A server's entry that was overwritten with nonsense removes this server only
    When the bytes "nonsense" are written as the entry of desk-1
    And 1500 ms go by
    Then instance a-1 knows servers desk-2
    And instance b-1 knows servers desk-2
    When server desk-1 is listed again
    And 300 ms go by
    Then instance a-1 knows servers desk-1, desk-2
