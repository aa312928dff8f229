@forwarding
Feature: Backend servers that announce in their answers that they leave
  # Guards against sending requests to a server that leaves. While the store did not answer, a server
  # could announce only in its answers that it leaves. Notified instances went on sending it requests
  # for as long as its entry in the store listed it as ready.
  Background:
    Given a fleet of 8 instances in data centres a, b, c
    And 2 servers of each of the services desk, llm, enc in data centres a, b, c
    And the store is silent

  Scenario Outline: A server that leaves gets no more requests from the instances that it notified
    When server <server> announces that it leaves, and <rate> <kind> requests a second come for 9000 ms
    Then no notified instance sends it requests that come over 2000 ms later
    And over 97 of 100 requests were answered

    Examples:
      | server | kind   | rate |
      | llm-1  | stream | 60   |
      | desk-1 | safe   | 60   |
      | desk-1 | unsafe | 60   |
      | enc-1  | staged | 30   |

  Scenario Outline: No instance uses it after the first notice, while instances start, restart or crash
    When server <server> announces that it leaves, and 60 <kind> requests a second come for 9000 ms while <what>
    Then no instance sends it requests that come over 2000 ms after the first notice
    And over <served> of 100 requests were answered

    Examples:
      | server | kind   | what                                        | served |
      | llm-1  | stream | the service's coordinator is restarted      | 90     |
      | desk-1 | safe   | the service's coordinator is restarted      | 90     |
      | enc-1  | staged | the service's coordinator is restarted      | 80     |
      | llm-1  | stream | the service's coordinator crashes           | 90     |
      | llm-1  | stream | two more instances start                    | 97     |
      | desk-1 | safe   | two more instances start                    | 97     |
      | llm-1  | stream | instances are restarted one after the other | 80     |

  Scenario Outline: Instances that are cut off use the notices that they received themselves
    When server <server> announces that it leaves, and 60 <kind> requests a second come for 9000 ms while <what>
    Then no notified instance sends it requests that come over 2000 ms later
    And over 90 of 100 requests were answered

    Examples:
      | server | kind   | what                                        |
      | llm-1  | stream | three instances are cut off from the others |
      | desk-1 | safe   | three instances are cut off from the others |
      | enc-1  | staged | three instances are cut off from the others |
      | llm-1  | stream | a data centre is cut off from the others    |

  Scenario: All instances are restarted while its entry lists it as ready
    Given the store answers
    When server desk-1 announces that it leaves, and 60 safe requests a second come for 9000 ms while all instances are restarted at once
    Then no notified instance sends it requests that come over 2000 ms later
    And over 80 of 100 requests were answered

  Scenario: An instance that starts learns that a server leaves before it sends a request
    Given server desk-1 has announced that it leaves
    When an instance starts while the store is unreachable
    Then it knows within 100 ms that desk-1 leaves

  Scenario Outline: What does not put a server that leaves back in use
    Given server <server> has announced that it leaves
    When <what>
    And 60 <kind> requests a second come for 3000 ms
    Then server <server> gets nothing

    Examples:
      | server | kind   | what                                                            |
      | desk-1 | safe   | 35 s go by                                                      |
      | llm-1  | stream | 35 s go by                                                      |
      | enc-1  | staged | 35 s go by                                                      |
      | desk-1 | safe   | the store answers, and lists it as ready                        |
      | llm-1  | stream | the store is restored from an older copy, and lists it as ready |
      | desk-1 | safe   | its entry expires, and is listed again                          |
      | desk-1 | safe   | a later answer does not repeat the notice                       |

  Scenario: A server that restarts under its id is used
    Given the store answers
    And server desk-1 has announced that it leaves
    When server desk-1 restarts, and 60 safe requests a second come for 3000 ms
    Then server desk-1 gets over 10 requests

  Scenario Outline: How long a notice is kept
    Given an instance
    When <which> server announces that it leaves, and 11 minutes later another one does
    Then <known> of them are known to leave

    Examples:
      | which     | known |
      | a listed  | 2     |
      | a removed | 1     |

  Scenario: All servers of a service leave
    # They go on serving for a while, in which new servers may start; after that requests are refused
    # at once.
    When all desk servers announce that they leave, and 30 safe requests a second come for 4000 ms
    Then all requests that came in the first 900 ms were answered
    And all requests that came after 1500 ms were refused within 5 ms, with a time to retry
    And no notified instance sends them requests that come over 2000 ms later

  Scenario: A new server starts after all servers of a service have left
    Given the store answers
    When all desk servers announce that they leave, and 30 safe requests a second come for 2000 ms
    And server desk-new is listed, and 30 safe requests a second come for 1000 ms
    Then all requests that came after that were answered

  Scenario: Requests whose model servers all leave are refused before their stages run
    Given all llm servers have announced that they leave
    When 10 staged requests come one after the other, 1500 ms later
    Then each was refused as not run, and no piece was run

  Scenario: A server leaves while a request waits for its slot there
    Given all desk servers have announced a limit of 1 request a second
    When a request waits for its reserved slot, and its server leaves
    Then it reaches another server only

  Scenario: Results at a server that leaves are not released, but expire
    Given server enc-1 has announced that it leaves
    When results at enc-0 and enc-1 are released
    Then only enc-0 is asked to release a result

  Scenario: Prompt parts that are cached at a server that leaves are prefilled again elsewhere
    Given server llm-1 has announced that it leaves
    When 60 stream requests a second come for 2000 ms
    Then no cached prompt part is fetched from llm-1

  Scenario: A notice that a server leaves is forwarded over slow links, and forwarding ends
    Given 5 instances in a ring, with link delays of 250 ms
    When one instance receives the notice that a server leaves, and 600 ms later another one does
    Then after 3000 ms all of them know that it leaves, and no message is in transit

  Scenario: The notices of all listed servers are kept
    Given an instance
    When 1100 listed servers announce that they leave, one every 10 ms, and 1100 that are not listed
    Then it keeps those that are listed, and at least 1024 in all
