@forwarding
Feature: Backend servers that ask for a back-off
  # Guards against ignoring a back-off. A server refused a request of an instance and asked it for
  # three seconds without requests, but got three more from it in that time: only the third failure
  # tripped the circuit breaker, and only for a second.
  Background:
    Given a fleet of 8 instances in data centres a, b, c
    And 2 servers of each of the services desk, llm, enc in data centres a, b, c

  Scenario Outline: A server that refuses every second request with a back-off gets no requests during it
    When server <server> refuses every second request with a back-off of 3000 ms, and <rate> <kind> requests a second come for 9000 ms
    Then no server gets requests from an instance during a back-off that it asked that instance for
    And over 97 of 100 requests were answered

    Examples:
      | server | kind   | rate |
      | llm-1  | stream | 60   |
      | desk-1 | safe   | 60   |
      | desk-1 | unsafe | 60   |
      | enc-1  | staged | 30   |

  Scenario Outline: Back-offs are kept while instances restart, crash or are cut off
    When server <server> refuses every second request with a back-off of 3000 ms, and 60 <kind> requests a second come for 9000 ms while <what>
    Then no server gets requests from an instance during a back-off that it asked that instance for
    And over 90 of 100 requests were answered

    Examples:
      | server | kind   | what                                        |
      | llm-1  | stream | the service's coordinator is restarted      |
      | enc-1  | staged | the service's coordinator crashes           |
      | desk-1 | safe   | three instances are cut off from the others |
      | llm-1  | stream | a data centre is cut off from the others    |
      | desk-1 | safe   | instances are restarted one after the other |

  Scenario Outline: All servers of a service ask for a back-off
    # Requests that come then are refused at once, and told to retry when the back-off ends, with a
    # small spread.
    When all <service> servers refuse all requests with a back-off of 3000 ms, and 20 <kind> requests a second come for 2900 ms
    And they stop refusing requests
    Then no server gets requests from an instance during a back-off that it asked that instance for
    And an instance that all had asked to back off refused requests within 5 ms
    And each was told to retry after the back-off, and not over 1500 ms later
    And no two requests of an instance were told to retry at the same time
    And every request refused after all had asked was told to retry after the back-off

    Examples:
      | service | kind   |
      | desk    | safe   |
      | desk    | unsafe |
      | llm     | stream |
      | llm     | staged |

  Scenario: A caller that retries after the back-off is served
    Given the instances have received requests before
    When all desk servers refuse all requests with a back-off of 2000 ms, and 40 safe requests a second come for 1900 ms
    And they stop refusing requests
    And the callers refused for that retry when they were told to
    Then over 97 of 100 of these retries were served

  Scenario: Requests whose model servers all asked for a back-off are refused before their stages run
    Given all llm servers have asked each instance for a back-off of 20000 ms
    When 10 staged requests come one after the other, 100 ms later
    Then each was refused with 2013 as not run, and no piece was run

  Scenario: Requests whose stage servers all asked for a back-off are refused at once
    Given all enc servers have asked each instance for a back-off of 4000 ms
    When 10 staged requests come one after the other, 100 ms later
    Then each was refused with 2001 as not run, and no piece was run

  Scenario: Pieces of a service whose servers all asked for a back-off are expected to wait for its end
    Given all enc servers have asked each instance for a back-off of 200 ms
    Then the service's coordinator expects new pieces to wait 150 to 200 ms

  Scenario Outline: A request waits for a back-off that ends soon
    Given all <service> servers have asked each instance for a back-off of 200 ms
    When 1 <kind> requests come one after the other, 100 ms later
    Then it is answered on time

    Examples:
      | service | kind   |
      | desk    | safe   |
      | llm     | stream |
      | enc     | staged |

  Scenario Outline: A back-off binds only the instance that was asked for it
    # This holds also where that instance is the placement coordinator, which places all prompts.
    Given server <server> has asked the placement coordinator for a back-off of 5000 ms
    When 60 <kind> requests a second come for 2000 ms
    Then server <server> gets requests, but none from the placement coordinator

    Examples:
      | server | kind   |
      | llm-1  | stream |
      | desk-1 | safe   |

  Scenario Outline: What does not end a back-off
    Given server desk-1 has asked each instance for a back-off of 3000 ms
    When <what>
    And 60 safe requests a second come for 1500 ms
    Then server desk-1 gets nothing

    Examples:
      | what                                     |
      | it asks for a back-off of 100 ms         |
      | a call to it that was in flight succeeds |
      | 1400 ms go by                            |
      | it has been listed again                 |

  Scenario: A back-off ends
    Given server desk-1 has asked each instance for a back-off of 500 ms
    When 600 ms go by
    And 60 safe requests a second come for 1500 ms
    Then server desk-1 gets requests

  Scenario: A server that restarts has no back-off
    Given server desk-1 has asked each instance for a back-off of 30000 ms
    When server desk-1 restarts, and 60 safe requests a second come for 1500 ms
    Then server desk-1 gets over 10 requests

  Scenario: A server asks for a back-off while a request waits for its slot there
    Given all desk servers have announced a limit of 1 request a second
    When a request waits for its reserved slot, and its server asks for a back-off
    Then it reaches another server only

  Scenario: Results at a server that asked for a back-off are released later
    Given server enc-1 has asked each instance for a back-off of 1000 ms
    When results at enc-0 and enc-1 are released
    Then only enc-0 is asked to release a result
    When results at enc-0 and enc-0 are released
    Then enc-1 is asked to release its result

  Scenario: A server asks for a back-off when it is asked to release results
    Given server enc-1 refuses every request with a back-off of 3000 ms
    When results at enc-0 and enc-1 are released
    And 30 staged requests a second come for 1500 ms
    Then server enc-1 gets nothing
