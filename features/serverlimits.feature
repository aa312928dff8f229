@forwarding
Feature: Backend servers that limit their request rate
  # Guards against instances that ignore the limit in a server's answers. An overloaded model server
  # announced 1 request a second for all instances together, and got 12 in four seconds; the bound is
  # 11 (half as much again as announced, and five). No instance read the limit. Each request was a
  # first attempt, placed as usual by the placement coordinator, without a restart. Servers of plain
  # services and of stages are affected too: there each instance, or those of a data centre, send
  # by themselves.
  Background:
    Given a fleet of 8 instances in data centres a, b, c
    And 2 servers of each of the services desk, llm, enc in data centres a, b, c

  Scenario: A model server announces a limit
    When server llm-1 announces a limit of 1 request a second, and 60 stream requests a second come for 9000 ms
    Then no server got more than its limit allows
    And over 97 of 100 requests were answered

  Scenario: A server of a plain service announces a limit
    When server desk-1 announces a limit of 1 request a second, and 60 safe requests a second come for 9000 ms
    Then no server got more than its limit allows
    And over 97 of 100 requests were answered

  Scenario: A server of a stage service announces a limit
    When server enc-1 announces a limit of 1 request a second, and 30 staged requests a second come for 9000 ms
    Then no server got more than its limit allows
    And over 97 of 100 requests were answered

  Scenario Outline: All servers of a service announce a limit
    # A request that the limits allow and that is not sent is refused without need. No request is
    # refused after its stages have run, and those that are served are served on time.
    When all <service> servers announce a limit of <per_s> requests a second, and <rate> <kind> requests a second come for 9000 ms
    Then no server got more than its limit allows
    And over <used> of 100 of the requests that the limits allow were sent
    And every request that was not served was reported as not run, with a time to retry
    And over 90 of 100 answers were on time

    Examples:
      | service | per_s | rate | kind   | used |
      | llm     | 3     | 60   | stream | 85   |
      | llm     | 0.3   | 20   | stream | 85   |
      | desk    | 3     | 60   | safe   | 85   |
      | desk    | 3     | 60   | unsafe | 85   |
      | llm     | 2     | 30   | staged | 75   |

  Scenario: All servers of a stage service announce a limit
    When all enc servers announce a limit of 1 requests a second, and 30 staged requests a second come for 9000 ms
    Then no server got more than its limit allows
    And over 80 of 100 of the requests that the limits allow were sent
    And calls held 5 pieces or more on average

  Scenario Outline: Instances start, restart, crash or are cut off while all servers of a service announce a limit
    # All six servers of the service are limited; the <what> column takes effect after 4000 ms.
    When all <service> servers announce a limit of <per_s> requests a second, and 60 <kind> requests a second come for 9000 ms while <what>
    Then no server got more than its limit allows
    And over <used> of 100 of the requests that the limits allow were sent

    Examples:
      | service | per_s | kind   | what                                             | used |
      | llm     | 1     | stream | the service's coordinator is restarted           | 70   |
      | desk    | 1     | safe   | the service's coordinator is restarted           | 70   |
      | enc     | 1     | staged | the service's coordinator is restarted           | 60   |
      | llm     | 3     | stream | the service's coordinator is restarted           | 70   |
      | llm     | 1     | stream | the service's coordinator crashes                | 70   |
      | llm     | 1     | stream | three instances are cut off from the others      | 70   |
      | desk    | 1     | safe   | three instances are cut off from the others      | 70   |
      | enc     | 1     | staged | three instances are cut off from the others      | 60   |
      | llm     | 1     | stream | two of the others lose the service's coordinator | 70   |
      | desk    | 1     | safe   | two of the others lose the service's coordinator | 70   |
      | llm     | 1     | stream | two more instances start                         | 70   |
      | desk    | 1     | safe   | all instances are restarted at once              | 40   |
      | llm     | 1     | stream | all instances are restarted at once              | 40   |
      | llm     | 1     | stream | a data centre is cut off from the others         | 70   |

  Scenario Outline: It is uncertain which instance is the service's coordinator
    # Half of the others reach one candidate, and half the other; instances then send too few requests
    # rather than too many.
    When all <service> servers announce a limit of 1 requests a second, and 60 <kind> requests a second come for 9000 ms while half of the others lose the service's coordinator
    Then no server got more than its limit allows

    Examples:
      | service | kind   |
      | llm     | stream |
      | desk    | safe   |
      | enc     | staged |

  Scenario: Instances of a data centre that is cut off use their share of the limit together
    When all llm servers announce a limit of 4 requests a second, and 60 stream requests a second come for 10000 ms while a data centre is cut off from the others
    Then the instances of data centre a sent over 12 requests while cut off
    And no server got more than its limit allows

  Scenario: Requests that were allowed but not sent during a partition are not sent in the next one
    Given 4 more instances
    When all llm servers announce a limit of 1 requests a second, and 40 stream requests a second come for 45000 ms while all instances are cut off from each other, twice
    Then no server got more than its limit allows

  Scenario: A large fleet
    Given 22 more instances
    When all llm servers announce a limit of 1 requests a second, and 90 stream requests a second come for 9000 ms while the service's coordinator is restarted
    Then no server got more than its limit allows
    And over 70 of 100 of the requests that the limits allow were sent

  Scenario: An instance that starts learns of a limit from its peers before it sends a request
    Given server desk-1 has announced a limit of 1 request a second
    When an instance starts while the store is unreachable
    Then it knows within 100 ms that desk-1 has a limit of 1 a second

  Scenario: A limit is raised, and then lifted
    When server llm-1 announces a limit of 1 request a second, and 60 stream requests a second come for 6000 ms
    And its limit becomes 2, and they come for 6000 ms more
    Then it got 9 to 15 of them
    When its limit becomes none, and they come for 6000 ms more
    Then it got over 20 of them

  Scenario: A burst after a pause
    # Requests that were allowed during the pause are not sent all at once after it.
    Given all desk servers have announced a limit of 1 request a second
    When no requests come for 20 s, and then 60 safe requests a second for 1000 ms
    Then no server got more than 3 requests

  Scenario Outline: A lifted limit is noticed while other servers have capacity
    When server <server> announces a limit of 1 request a second, and 30 <kind> requests a second come for 4000 ms
    And its limit becomes none, and they come for 6000 ms more
    Then no instance considers it limited

    Examples:
      | server | kind   |
      | desk-1 | safe   |
      | llm-1  | stream |
      | enc-1  | staged |

  Scenario: A server with a limit of 0 is probed from time to time
    When all desk servers announce a limit of 0 requests a second, and 30 safe requests a second come for 25000 ms
    Then no server got more than its limit allows
    And each server got a request in the last 12000 ms

  Scenario: A server that restarts under its id is not limited
    Given server llm-1 has announced a limit of 1 request a second
    When server llm-1 restarts without a limit, and 60 stream requests a second come for 6000 ms
    Then it got over 40 of them

  Scenario: Limits that were not repeated for ten minutes are dropped
    Given server desk-1 has announced a limit of 1 request a second
    When no requests come for 11 minutes, and then desk-2 announces a limit of 1 a second
    Then no instance considers desk-1 limited
    And only desk-2 has a token bucket

  Scenario: More urgent requests are served first
    When all desk servers announce a limit of 2 requests a second, and 20 urgent and 20 other safe requests a second come for 9000 ms
    Then over 50 of 100 urgent requests were answered, and more than 4 times as many as of the others

  Scenario: A caller that retries when it was told to is served
    When all desk servers announce a limit of 2 requests a second, and 60 safe requests a second come for 5000 ms
    And the callers refused in the last 500 ms retry when they were told to, with no other requests
    Then over 90 of 100 of the retries were answered

  Scenario: A caller disconnects while its request waits for a reserved slot
    Given all desk servers have announced a limit of 1 request a second
    When a caller disconnects while its request waits for its reserved slot
    Then its request reaches no server, and no server counts it as running

  Scenario: A server is drained while a request waits for its slot there
    Given all desk servers have announced a limit of 1 request a second
    When the server is drained at which a request waits for its reserved slot
    Then it reaches another server only

  Scenario Outline: Which of two answers is in force
    # The times are when the request was sent and when its answer was received.
    Given a server has announced a limit of <known> in an answer to a request sent at <sent> ms and answered at <answered> ms
    When the answer to a request sent at <sent 2> ms and answered at <answered 2> ms announces a limit of <announced>
    Then its limit in force is <in force>

    Examples:
      | known | sent | answered | sent 2 | answered 2 | announced | in force |
      | 1     | 100  | 200      | 200    | 250        | none      | none     |
      | 1     | 100  | 200      | 150    | 250        | none      | 1        |
      | 1     | 100  | 200      | 0      | 250        | none      | 1        |
      | none  | 100  | 200      | 150    | 250        | 1         | 1        |
      | none  | 100  | 200      | 0      | 90         | 1         | none     |
      | 1     | 100  | 200      | 150    | 250        | 3         | 1        |
      | 3     | 100  | 200      | 150    | 250        | 1         | 1        |
      | 1     | 100  | 200      | 210    | 250        | 3         | 3        |

  Scenario: Two limits that are forwarded over slow links
    Given 5 instances in a ring, with link delays of 30 ms
    When one instance receives a limit of 1, and 20 ms later another one a limit of 3
    Then after 2000 ms all instances hold the same limit, and no message is in transit

  Scenario: Two limits that are forwarded over links slower than expected
    Given 5 instances in a ring, with link delays of 250 ms
    When one instance receives a limit of 1, and 600 ms later another one a limit of 3
    Then after 20000 ms no message is in transit

  Scenario: A lost announcement is repeated while answers come
    Given 5 instances in a ring, with link delays of 30 ms
    When one instance receives a limit of 1 while its links are down, and again each second
    Then after 6500 ms all instances hold the same limit, and no message is in transit

  Scenario: The number of limits that are kept is bounded
    Given an instance
    When 1100 servers announce a limit, one every 10 ms
    Then it keeps the last 1024 limits

  Scenario: Results at servers that announce a limit are released in few calls
    When all enc servers announce a limit of 2 requests a second, and 30 staged requests a second come for 9000 ms
    Then results are released in less than half as many calls as run pieces there
    And no server got more than its limit allows, release calls included

  Scenario: Cached prompt parts at a server with a long wait are fetched from there
    Given servers s1 and s2, of which s1 has cached 6000 tokens of a prompt
    When the wait is 500 ms for s1, and the prompt can wait 1000 ms
    Then s2 gets it at once, and fetches the cached tokens from s1

  Scenario: Where a prompt has to wait at every server, wait and prefill are compared together
    Given servers s1 and s2, of which s1 has cached 60 tokens of a prompt
    When the wait is 900 ms for s1 and 100 ms for s2, and the prompt can wait 1000 ms
    Then it goes to s2

  Scenario: A request that can wait is told to retry that much sooner
    Given all desk servers have announced a limit of 1 request a second
    When requests that can wait 300 ms are placed until one is refused
    Then its caller is told to retry when the wait is down to 300 ms

  Scenario: A server with a limit is used where the others are congested
    Given server desk-1 has announced a limit of 5 requests a second
    When a safe request comes 1000 ms later, and the other servers have 30 calls each
    Then it goes to desk-1

  Scenario: A request waits for no limited server while others are free
    # Cold servers are avoided as well; they are used where no other server is free.
    Given server desk-1 has announced a limit of 1 request a second
    And server desk-2 is cold
    When a safe request that can wait 1000 ms is due to probe it
    Then another server gets it at once

  Scenario: A caller disconnects during the stages of its request, which has a slot
    Given all llm servers have announced a limit of 1 request a second
    When a caller disconnects while the stages of its request run
    Then the placement coordinator counts no prompt any more

  Scenario: A limit is received while the stages of requests run
    When 4 staged requests come, and 200 ms later all llm servers announce a limit of 1 request a second
    Then all 4 are answered

  Scenario: A stage server with a limit is used only where the others are busy
    Given server enc-0 has announced a limit of 3 requests a second
    When 10 staged requests come one after the other, 1000 ms later
    Then enc-0 gets no call

  Scenario: Requests whose stages cannot run in time are refused at once
    When all enc servers announce a limit of 0.5 requests a second, and 30 staged requests a second come for 9000 ms
    Then over 95 of 100 refusals came within 5 ms
    And over 60 requests were answered
    And calls held 6 pieces or more on average

  Scenario: A call for a single piece does not wait long for further pieces
    Given all enc servers have announced a limit of 0.1 request a second
    When a single staged request comes 12000 ms later
    Then it is answered on time

  Scenario: Releases that were held back at a server are sent once its limit is lifted
    Given server enc-1 has announced a limit of 3 requests a second
    When 30 staged requests a second come for 3000 ms, and for 1000 ms more without a limit
    Then no release is held back, and the server has no token bucket

  Scenario: Large results at servers that announce a limit
    # They are released before memory runs short, by calls that count against the limit.
    Given a result of a stage takes 12 of the 100 MB that a server has
    When all enc servers announce a limit of 2 requests a second, and 20 staged requests a second come for 9000 ms
    Then over 100 requests were answered
    And no server got more than 10 requests in 4 s, release calls included
