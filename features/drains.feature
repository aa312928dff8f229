@forwarding
Feature: Drained data centres
  # An operator drains a data centre before maintenance. Guards against any path that still sends new
  # work to its servers, such as resumed streams, batched pieces or transfers of cached prompts: none
  # may reach them later than five seconds after the store holds the drain.
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

  Scenario: Requests that run there are completed
    When data centre a is drained 15 ms after 4 lasting requests came to each instance
    Then every request was answered

  Scenario: Queued pieces run elsewhere at once, and other instances decide on admission
    Given 20 staged requests are in flight
    When data centre a is drained
    And 60 ms go by
    Then no call with pieces begins in data centre a within 1500 ms

  Scenario: Instances that cannot reach the store learn of drains from their peers
    Given the store is down for b-1
    And the store is down for b-2
    And the store is down for a-2
    When data centre a is drained
    And 100 ms go by
    Then every instance considers data centre a drained
    When data centre a is undrained
    And 100 ms go by
    Then no instance considers data centre a drained

  Scenario: The store goes down after the drain, and an instance restarts
    When data centre a is drained
    And 100 ms go by
    And the store is down
    And instance b-1 starts again
    And 500 ms go by
    Then every instance considers data centre a drained
    And the load balancer finds b-1 ready

  Scenario: An instance that starts learns of a drain before it sends a request
    When data centre a is drained
    And 100 ms go by
    And instance b-3 starts, which is sent 3 stream requests as soon as it is ready
    Then nothing was sent to the servers of data centre a

  Scenario: A data centre is drained and undrained twice in a second, and updates arrive out of order
    When data centre a is drained
    And 300 ms go by
    And data centre a is undrained
    And 300 ms go by
    And data centre a is drained
    And 60 ms go by
    Then every instance considers data centre a drained
    When data centre a is undrained
    And 60 ms go by
    And a peer that has not received the last change sends its state to each instance
    Then no instance considers data centre a drained

  Scenario Outline: A stream that breaks is resumed elsewhere
    Given the instances have received requests before
    And server <there> has fault "cut"
    And a third model server llm-3 in data centre <own>
    When data centre <datacentre> is drained 15 ms after a resumable request came to <there>
    Then request r ends with status 200
    And its body is events 1 to 6
    And it was run at <there>, then at llm-3

    Examples:
      | there | own | datacentre |
      | llm-1 | a   | b          |
      | llm-2 | b   | a          |

  Scenario: The placement coordinator does not know of the drain yet
    Given the placement coordinator receives no drains
    When data centre a is drained
    And 100 ms go by
    And 5 stream requests are sent to each other instance within 500 ms
    Then every request was answered
    And nothing was sent to the servers of data centre a

  Scenario: Cached prompt parts are not fetched from a drained data centre
    Given model server llm-1 in a drained data centre has cached the parts of a prompt
    When the prompt is placed
    Then its parts are prefilled, not fetched

  Scenario: Results at its servers are not released, but expire
    Given a result of a server in each data centre
    When data centre a is drained
    And 60 ms go by
    And the service's coordinator releases the results
    Then only the result in data centre b is released

  Scenario Outline: All data centres are drained
    When data centre a is drained
    And data centre b is drained
    And 60 ms go by
    And <kind> request r is sent to a-1
    Then request r ends with code 2011 as not_run
    And it ended within 5 ms
    When data centre b is undrained
    And 60 ms go by
    And <kind> request r is sent to a-1
    Then request r ends with status 200

    Examples:
      | kind   |
      | safe   |
      | unsafe |
      | stream |
      | staged |

  Scenario: A drain of a data centre that does not exist, and one without a name
    When data centre nowhere is drained
    And a row of the operator's table drains a data centre without a name
    And 60 ms go by
    And 3 stream requests are sent to each instance within 300 ms
    Then every request was answered
    And no instance keeps a data centre without a name

  Scenario: Drains of data centres that do not exist do not grow the messages between instances
    When 100 data centres that do not exist are drained one after the other
    And data centre a is drained
    And 100 ms go by
    Then every instance considers data centre a drained
    And no instance keeps more than 64 data centres

  Scenario: A drain that a restored store lacks stays in force until it is written again
    Given a copy of the store is saved
    When data centre a is drained
    And 500 ms go by
    And the store is restored from the copy
    And 1000 ms go by
    Then every instance considers data centre a drained
    When data centre a is drained
    And 3000 ms go by
    Then every instance considers data centre a drained

  Scenario: A drain that was undone after the copy was saved
    When data centre a is drained
    And 500 ms go by
    And a copy of the store is saved
    And data centre a is undrained
    And 500 ms go by
    And the store is restored from the copy
    And 100 ms go by
    And data centre a is undrained
    And 100 ms go by
    Then no instance considers data centre a drained

  Scenario: A drain that is not written again to a restored store ends
    Given a copy of the store is saved
    When data centre a is drained
    And 500 ms go by
    And the store is restored from the copy
    And 3000 ms go by
    Then no instance considers data centre a drained

  Scenario: An instance that starts while a drain is missing from the store applies it
    Given a copy of the store is saved
    When data centre a is drained
    And 500 ms go by
    And the store is restored from the copy
    And 100 ms go by
    And instance a-3 starts, which is sent 6 safe requests after the first messages of its peers
    Then nothing was sent to the servers of data centre a
