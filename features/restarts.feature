@forwarding
Feature: Servers that start again
  # A server may start again under the id it had. It holds nothing of before, so that what was known
  # of its earlier start misleads: kept parts of prompts, room that results take, a breaker that is
  # open, a word of its leaving. The list of servers tells each start by its time.

  Background:
    Given a forwarding fleet of instances a-1, a-2, b-1
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm

  Scenario: A server that left and starts again under its id gets work at once
    Given every instance has taken desk-1 and desk-2 out of use, since they said that they leave
    When server desk-1 is listed with a later start
    And 300 ms go by
    Then a request to each instance is served by desk-1

  Scenario: Nothing that was known of a server holds after it has started again
    Given every instance knows that llm-1 keeps parts of prompts, is slow and has results of 6 MB
    When server llm-1 is listed with a later start
    And 300 ms go by
    Then no instance takes llm-1 to keep any part, to be slow or to have results

  Scenario: A server that is listed again with the same start stays known
    Given every instance knows that llm-1 keeps parts of prompts, is slow and has results of 6 MB
    When server llm-1 is listed again with the same start
    And 300 ms go by
    Then every instance still knows this of llm-1

  Scenario: Instances that are told of a start by a peer know it as well
    Given the change feeds of a-1 fall silent
    When server desk-1 is listed with a later start
    And 1500 ms go by
    Then instance a-1 knows the later start of desk-1

  Scenario: An entry that another writer has written over a server's names no server, the others hold
    When the bytes "nonsense" are written as the entry of desk-1
    And 1500 ms go by
    Then instance a-1 knows servers desk-2
    And instance b-1 knows servers desk-2
    When server desk-1 is listed again
    And 300 ms go by
    Then instance a-1 knows servers desk-1, desk-2
