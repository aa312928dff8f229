@forwarding
Feature: Data centres whose servers are to get nothing
  # An operator empties a data centre before work on it. Nothing new may reach its servers some
  # seconds later, whoever sends it and why; the bound is five seconds after the store took note.
  Background:
    Given a forwarding fleet of instances a-1, a-2, b-1, b-2
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And stage servers enc-1, enc-2 of service enc

  Scenario Outline: Nothing new is sent to the servers of a drained data centre
    When data centre a is drained
    And 60 ms go by
    And <number> <kind> requests are sent to each instance within 500 ms
    Then every request was answered
    And nothing was sent to the servers of data centre a

    Examples:
      | kind      | number |
      | safe      | 5      |
      | unsafe    | 5      |
      | stream    | 5      |
      | resumable | 5      |
      | staged    | 1      |

  Scenario: What runs there is left to end
    When data centre a is drained 15 ms after 4 lasting requests came to each instance
    Then every request was answered

  Scenario: Pieces that wait are made elsewhere at once, and others decide who is let in
    Given 20 staged requests are under way
    When data centre a is drained
    And 60 ms go by
    Then no call with pieces begins in data centre a within 1500 ms

  Scenario: Instances that the store turns away are told over links
    Given the store is down for b-1
    And the store is down for b-2
    And the store is down for a-2
    When data centre a is drained
    And 100 ms go by
    Then every instance takes data centre a to be drained
    When data centre a is taken back
    And 100 ms go by
    Then no instance takes data centre a to be drained

  Scenario: The store goes down after the drain, and instances start again
    When data centre a is drained
    And 100 ms go by
    And the store is down
    And instance b-1 starts again
    And 500 ms go by
    Then every instance takes data centre a to be drained
    And the balancer finds b-1 ready

  Scenario: An instance that starts knows it before it sends anything
    When data centre a is drained
    And 100 ms go by
    And instance b-3 starts, which is sent 3 stream requests as soon as it is ready
    Then nothing was sent to the servers of data centre a

  Scenario: Drained and taken back twice in a second, and told in the wrong order
    When data centre a is drained
    And 300 ms go by
    And data centre a is taken back
    And 300 ms go by
    And data centre a is drained
    And 60 ms go by
    Then every instance takes data centre a to be drained
    When data centre a is taken back
    And 60 ms go by
    And a peer that has not heard of the last change speaks to each instance
    Then no instance takes data centre a to be drained

  Scenario Outline: A stream that breaks goes on elsewhere
    Given server <there> has fault "cut"
    And a third model server llm-3 in data centre <own>
    When data centre <datacentre> is drained 15 ms after a resumable request came to <there>
    Then request r ends with status 200
    And its body is events 1 to 6
    And it was run at <there>, then at llm-3

    Examples:
      | there | own | datacentre |
      | llm-1 | a   | b          |
      | llm-2 | b   | a          |

  Scenario: The instance where prompts meet has not heard of it yet
    Given the instance where prompts meet hears of no drains
    When data centre a is drained
    And 100 ms go by
    And 5 stream requests are sent to each other instance within 500 ms
    Then every request was answered
    And nothing was sent to the servers of data centre a

  Scenario: Kept parts of prompts are not fetched from there
    Given model server llm-1 in a drained data centre keeps the parts of a prompt
    When the prompt is placed
    Then it is read, not fetched

  Scenario: Results at its servers are left to lapse
    Given a result of a server in each data centre
    When data centre a is drained
    And 60 ms go by
    And the results are given up where they meet
    Then only the result in data centre b is given up

  Scenario Outline: All data centres are drained
    When data centre a is drained
    And data centre b is drained
    And 60 ms go by
    And <kind> request r is sent to a-1
    Then request r ends with code 2011 as not_run
    And it ended within 5 ms
    When data centre b is taken back
    And 60 ms go by
    And <kind> request r is sent to a-1
    Then request r ends with status 200

    Examples:
      | kind   |
      | safe   |
      | unsafe |
      | stream |
      | staged |

  Scenario: A data centre that does not exist, and a row under no name
    When data centre nowhere is drained
    And a row of the operator's table asks for a drain of no data centre
    And 60 ms go by
    And 3 stream requests are sent to each instance within 300 ms
    Then every request was answered
    And no instance remembers a data centre without a name

  Scenario: Names that are none do not fill the messages between instances
    When 100 data centres that do not exist are drained one after the other
    And data centre a is drained
    And 100 ms go by
    Then every instance takes data centre a to be drained
    And no instance remembers more than 64 data centres

  Scenario: A store that comes back without the drain has it written again
    Given the store keeps a copy
    When data centre a is drained
    And 500 ms go by
    And the store comes back from the copy
    And 1000 ms go by
    Then every instance takes data centre a to be drained
    When data centre a is drained
    And 3000 ms go by
    Then every instance takes data centre a to be drained

  Scenario: A drain that was taken back in the gap
    When data centre a is drained
    And 500 ms go by
    And the store keeps a copy
    And data centre a is taken back
    And 500 ms go by
    And the store comes back from the copy
    And 100 ms go by
    And data centre a is taken back
    And 100 ms go by
    Then no instance takes data centre a to be drained

  Scenario: A drain that is not written again ends
    Given the store keeps a copy
    When data centre a is drained
    And 500 ms go by
    And the store comes back from the copy
    And 3000 ms go by
    Then no instance takes data centre a to be drained

  Scenario: An instance that starts while a drain is missing from the store obeys it
    Given the store keeps a copy
    When data centre a is drained
    And 500 ms go by
    And the store comes back from the copy
    And 100 ms go by
    And instance a-3 starts, which is sent 6 safe requests after the greetings
    Then nothing was sent to the servers of data centre a
