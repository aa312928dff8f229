@forwarding
Feature: Instances that are partitioned from all backend servers
  # Guards against refusing most first tries while instances lose their connections to all servers,
  # but not to callers, the store and the other instances. They had no other way to a server,
  # went on coordinating stages and prompts, and reported sound servers as unreachable to others.
  Background:
    Given a fleet of 8 instances in data centres a, b, c
    And 2 servers of each of the services desk, llm, enc in data centres a, b, c

  Scenario Outline: Five of eight instances lose all servers
    When 5 instances with the coordinator of <topic> lose all servers, whose connections <how>, and <rate> <kind> requests a second come for 9000 ms
    Then over 90 of 100 requests at each instance that come over 3000 ms later were answered

    Examples:
      | topic          | kind      | rate | how                                |
      | enc            | staged    | 16   | hang                               |
      | enc            | staged    | 16   | are reset                          |
      | enc            | staged    | 16   | live on while new ones are refused |
      | prompts of llm | stream    | 40   | hang                               |
      | prompts of llm | stream    | 40   | are reset                          |
      | prompts of llm | stream    | 40   | live on while new ones are refused |
      | prompts of llm | resumable | 40   | hang                               |
      | prompts of llm | safe      | 40   | hang                               |
      | prompts of llm | unsafe    | 40   | hang                               |
      | prompts of llm | unsafe    | 40   | are reset                          |

  Scenario Outline: Other faults come during the partition
    When 5 instances with the coordinator of enc lose all servers, whose connections <how>, and <rate> <kind> requests a second come for 12000 ms while <what>
    Then over <served> of 100 requests that come over 3000 ms later were answered in each data centre

    Examples:
      | kind   | rate | how                                | what                                              | served |
      | staged | 16   | hang                               | the store is silent                               | 90     |
      | unsafe | 40   | are reset                          | the store is silent                               | 90     |
      | safe   | 40   | hang                               | instances are restarted one after the other       | 80     |
      | stream | 40   | live on while new ones are refused | two more instances start                          | 90     |
      | safe   | 40   | hang                               | two of the others lose the service's coordinator  | 90     |

  Scenario Outline: All instances of a data centre lose all servers, in a fleet without a full mesh
    Given a fleet of 24 instances in data centres a, b, c
    When all instances of data centre a lose all servers, whose connections <how>, and <rate> <kind> requests a second come for 8000 ms
    Then over 90 of 100 requests that come over 3000 ms later were answered in each data centre
    And the coordinators of enc, prompts of llm ran fewer than 5 relayed requests

    Examples:
      | kind   | rate | how                                |
      | staged | 40   | hang                               |
      | unsafe | 100  | hang                               |
      | stream | 80   | live on while new ones are refused |

  Scenario Outline: Work is not left to an instance without servers, and returns after it recovers
    When 5 instances with the coordinator of <topic> lose all servers, whose connections <how>
    Then 3000 ms later no instance leaves work of <topic> to one of them
    When they reach the servers again
    Then 4000 ms later all instances agree on the coordinator of <topic>

    Examples:
      | topic          | how                                |
      | enc            | hang                               |
      | enc            | live on while new ones are refused |
      | prompts of llm | are reset                          |

  Scenario: An instance without servers goes on polling the store
    When 1 instance with the coordinator of the store loses all servers, whose connections hang
    Then 3000 ms later it still polls the store

  Scenario: All instances lose all servers
    When 8 instances with the coordinator of enc lose all servers, whose connections hang
    Then 3000 ms later all instances agree on the coordinator of enc

  Scenario Outline: A report that a server is unreachable is verified by the placement coordinator
    When an instance reports that it cannot connect to a model server, which <state>
    Then 400 ms later the placement coordinator <uses> that server

    Examples:
      | state                     | uses         |
      | other instances reach     | uses         |
      | no instance can reach     | does not use |
      | refuses all that it sends | does not use |

  Scenario: A request that may have run at another instance is not sent again
    Given the answers to relayed requests are lost
    When 5 instances with the coordinator of prompts of llm lose all servers, whose connections hang, and 40 unsafe requests a second come for 9000 ms
    Then each request was sent to one server at most
    And no request that ran was reported as not run

  Scenario: A request that was relayed is not relayed again
    When 5 instances with the coordinator of prompts of llm lose all servers, whose connections are reset, and 40 safe requests a second come for 6000 ms
    Then no request was relayed by two instances
    And all instances that reach the servers ran relayed requests
    And isolated instances choose none of themselves to relay to
    And an isolated instance that is sent a relayed request does not relay it

  Scenario: A refusal by the other instance is passed on, but not for a request of which stages ran
    Given all llm servers refuse all requests
    When 5 instances with the coordinator of enc lose all servers, whose connections hang, and 16 staged requests a second come for 9000 ms
    Then no request of which a stage ran was reported as not run

  Scenario: An instance that reaches neither servers nor instances is not ready
    When 1 instance loses all servers and all other instances
    Then it is not ready 4000 ms later
    When it reaches the servers again
    Then it is ready 4000 ms later

  Scenario Outline: No request is suspected and no server counts as crashed when all connections are reset
    When 5 instances with the coordinator of <topic> lose all servers, whose connections are reset, and 60 <kind> requests a second are in progress
    Then 2000 ms later no instance suspects a request
    And no instance has recorded a crashed server

    Examples:
      | topic          | kind   |
      | prompts of llm | stream |
      | prompts of llm | unsafe |
      | enc            | staged |

  Scenario: A server that crashes is still recognised by instances that reach the others
    Given requests with body "deadly" crash a server after 20 ms
    When a request with body "deadly" is sent
    Then its crash is recorded

  Scenario Outline: Servers are used again at once after the partition
    When 5 instances with the coordinator of <topic> lose all servers, whose connections <how>, and <rate> <kind> requests a second come for 6000 ms
    And they reach the servers again
    And 1000 ms later they are sent <rate> <kind> requests a second for 3000 ms
    Then over 95 of 100 of these were answered, none of them by another instance

    Examples:
      | topic          | kind   | rate | how       |
      | prompts of llm | safe   | 40   | hang      |
      | prompts of llm | unsafe | 40   | are reset |
      | prompts of llm | stream | 40   | hang      |
      | enc            | staged | 16   | hang      |

  Scenario: Servers of this data centre and of others are probed, of different services
    # Guards against taking an instance for isolated that is partitioned from the other data
    # centres only.
    Then 4 probed servers are always 2 local ones and 2 others, of 2 services each
    And without server llm-1 it is not among them

  Scenario: An instance that is paused while it probes servers does not take itself for isolated
    When an instance is paused for 5000 ms while it probes servers
    Then it is not isolated
