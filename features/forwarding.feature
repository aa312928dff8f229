@forwarding
Feature: Forwarding requests
  Background:
    Given a forwarding fleet of instances a-1, a-2, b-1
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And the instances have received requests before

  Scenario Outline: Which requests are repeated after which failure
    When the first server that <kind> request r reaches has fault "<server fault>"
    Then request r ends with <outcome>
    And it was run by <runs> servers and sent to <sent>

    Examples:
      | kind   | server fault | outcome               | runs | sent |
      | safe   | reset        | status 200            | 2    | 2    |
      | safe   | silent       | status 200            | 2    | 2    |
      | safe   | error        | status 200            | 2    | 2    |
      | safe   | unsigned     | status 200            | 2    | 2    |
      | safe   | full         | status 200            | 1    | 2    |
      | safe   | unreachable  | status 200            | 1    | 2    |
      | safe   | replaced     | status 200            | 1    | 2    |
      | unsafe | reset        | code 3006 as unknown  | 1    | 1    |
      | unsafe | silent       | code 3002 as failed   | 1    | 1    |
      | unsafe | error        | status 500            | 1    | 1    |
      | unsafe | unsigned     | code 3006 as unknown  | 1    | 1    |
      | unsafe | full         | status 200            | 1    | 2    |
      | unsafe | unreachable  | status 200            | 1    | 2    |
      | unsafe | replaced     | status 200            | 1    | 2    |

  Scenario Outline: A request that is refused as not run was not run
    Given every server has fault "<fault>"
    When <kind> request r is sent to a-1
    Then request r ends with <outcome>
    And it was run by <runs> servers

    Examples:
      | kind   | fault       | outcome              | runs |
      | unsafe | full        | code 2009 as not_run | 0    |
      | unsafe | unreachable | code 2008 as not_run | 0    |
      | safe   | full        | code 2009 as not_run | 0    |
      | unsafe | reset       | code 3006 as unknown | 1    |
      | safe   | reset       | code 3003 as failed  | 2    |

  Scenario: A resumable stream continues after its last whole event
    When the first server that resumable request r reaches has fault "cut"
    Then request r ends with status 200
    And its body is events 1 to 6
    And it was run by 2 servers and sent to 2

  Scenario: A stream that is not resumable breaks where it was cut
    When the first server that stream request r reaches has fault "cut"
    Then the body of request r breaks after events 1 to 2
    And it was run by 1 servers

  Scenario: A caller that disconnects cancels the work
    When the caller of stream request r to a-1 leaves after 65 ms
    Then its answer was closed and no server counts it as running

  Scenario: Retries of all instances together stay within the budget
    Given server desk-1 has fault "reset"
    And server desk-2 has fault "reset"
    When 60 safe requests are sent to each instance within 8000 ms
    Then services got at most 0.2 x 180 + 20 arrivals beyond the first of each request

  Scenario: All instances together keep open half of the connections that a server accepts
    Then of the 100 connections that desk-1 accepts they keep 40 to 50

  Scenario Outline: Which hosts, paths and keys are accepted
    When a request to "<host>" "<path>" with key "<key>" is sent to a-1
    Then request r ends with <outcome>

    Examples:
      | host    | path          | key  | outcome              |
      | desk.x  | /push/1       | k    | status 200           |
      | desk.x  | /push/deep/1  | k    | status 200           |
      | desk.x  | /nothing/1    | k    | code 1013 as not_run |
      | other.x | /push/1       | k    | code 1013 as not_run |
      | desk.x  | /push/1       | bad  | code 1002 as not_run |
      | desk.x  | /push/1       |      | code 1002 as not_run |
      | desk.x  | /open/1       |      | status 200           |

  Scenario: The route with the longest prefix is chosen
    When a request to "desk.x" "/push/deep/1" with key "k" is sent to a-1
    Then it went by route deep

  Scenario: An unknown key is refused as not ready while the catalogue is out of date
    Given the store is down
    And instance a-1 is cut off from its peers
    When 8000 ms go by
    And a request to "desk.x" "/push/1" with key "new" is sent to a-1
    Then request r ends with code 2004 as not_run

  Scenario: An instance without a catalogue refuses requests and is not ready
    Given the store is down
    When instance c-1 starts alone
    And a request to "desk.x" "/push/1" with key "k" is sent to c-1
    Then request r ends with code 2004 as not_run
    And the balancer finds c-1 unready

  Scenario: An instance that starts while the store is down gets its state from a peer
    Given the store is down
    When instance a-2 starts again
    And 2000 ms go by
    Then the balancer finds a-2 ready with catalogue version 1
    And instance a-2 knows servers desk-1, desk-2

  Scenario Outline: An instance that is shutting down admits only requests that it can finish
    Given instance a-1 has been leaving for <ms> ms
    When <kind> request r is sent to a-1
    Then request r ends with <outcome>

    Examples:
      | ms   | kind   | outcome              |
      | 500  | stream | status 200           |
      | 500  | unsafe | status 200           |
      | 3000 | stream | code 2005 as not_run |
      | 3000 | unsafe | status 200           |
      | 7000 | unsafe | code 2005 as not_run |

  Scenario: A retry beyond the budget is not made, and the request ends as failed, not as refused
    Given the retry budget is spent
    When the first server that safe request r reaches has fault "reset"
    Then request r ends with code 3005 as failed
    And it was run by 1 servers and sent to 1

  Scenario: Events that arrive byte by byte are forwarded whole
    When 5 events come byte by byte
    Then only whole events are forwarded and the last id is 5
