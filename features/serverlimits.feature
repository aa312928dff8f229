@forwarding
Feature: Backend servers that name how much they take
  # A model server in need named one request a second from all instances together, and got 12 in
  # four seconds, where half as much again and five are borne: 11. What it names was read by nobody.
  # Each of these requests was a first sending, placed by the one instance where prompts meet, with
  # every server compared as before; nothing of it hung on a restart. The same happens at servers of
  # plain services and of stages, where each instance sends by itself, or those of a data centre.
  Background:
    Given a fleet of 8 instances in data centres a, b, c
    And 2 servers of each of the services desk, llm, enc in data centres a, b, c

  Scenario: A model server names a limit
    When server llm-1 names 1 request a second, and 60 stream requests a second come for 9000 ms
    Then no server got more than its limit allows
    And over 97 of 100 requests were answered

  Scenario: A server of a plain service names a limit
    When server desk-1 names 1 request a second, and 60 safe requests a second come for 9000 ms
    Then no server got more than its limit allows
    And over 97 of 100 requests were answered

  Scenario: A server of a stage service names a limit
    When server enc-1 names 1 request a second, and 30 staged requests a second come for 9000 ms
    Then no server got more than its limit allows
    And over 97 of 100 requests were answered

  Scenario Outline: All servers of a service limit what they take
    # What is allowed and not sent is a caller turned away for nothing. Nobody is turned away after
    # its stages have run, and who is served is served on time.
    When all <service> servers name <per_s> requests a second, and <rate> <kind> requests a second come for 9000 ms
    Then no server got more than its limit allows
    And over <used> of 100 of what they take was used
    And whoever was not served was told that nothing ran, and when to come back
    And over 90 of 100 answers were on time

    Examples:
      | service | per_s | rate | kind   | used |
      | llm     | 3     | 60   | stream | 85   |
      | llm     | 0.3   | 20   | stream | 85   |
      | desk    | 3     | 60   | safe   | 85   |
      | desk    | 3     | 60   | unsafe | 85   |
      | llm     | 2     | 30   | staged | 75   |

  Scenario: All servers of a stage service limit what they take
    When all enc servers name 1 requests a second, and 30 staged requests a second come for 9000 ms
    Then no server got more than its limit allows
    And over 80 of 100 of what they take was used
    And calls held 5 pieces or more on the average

  Scenario Outline: Instances come and go while a server limits what it takes
    # Of <kind> requests; the server is one of six, or all six are limited.
    When all <service> servers name <per_s> requests a second, and 60 <kind> requests a second come for 9000 ms while <what>
    Then no server got more than its limit allows
    And over <used> of 100 of what they take was used

    Examples:
      | service | per_s | kind   | what                                           | used |
      | llm     | 1     | stream | the instance where its work meets is restarted | 70   |
      | desk    | 1     | safe   | the instance where its work meets is restarted | 70   |
      | enc     | 1     | staged | the instance where its work meets is restarted | 60   |
      | llm     | 3     | stream | the instance where its work meets is restarted | 70   |
      | llm     | 1     | stream | the instance where its work meets dies         | 70   |
      | llm     | 1     | stream | three instances are cut off from the others    | 70   |
      | desk    | 1     | safe   | three instances are cut off from the others    | 70   |
      | enc     | 1     | staged | three instances are cut off from the others    | 60   |
      | llm     | 1     | stream | two of them lose the one where its work meets  | 70   |
      | desk    | 1     | safe   | two of them lose the one where its work meets  | 70   |
      | llm     | 1     | stream | two more instances start                       | 70   |
      | desk    | 1     | safe   | all instances are restarted at once            | 40   |
      | llm     | 1     | stream | all instances are restarted at once            | 40   |
      | llm     | 1     | stream | a data centre is cut off from the others       | 70   |

  Scenario Outline: Nobody is sure to be the one where the work of a service meets
    # Half of the others reach one, and half the other; less is used rather than too much.
    When all <service> servers name 1 requests a second, and 60 <kind> requests a second come for 9000 ms while half of them lose the one where its work meets
    Then no server got more than its limit allows

    Examples:
      | service | kind   |
      | llm     | stream |
      | desk    | safe   |
      | enc     | staged |

  Scenario: Those behind a cut use their part of the limit together
    When all llm servers name 4 requests a second, and 60 stream requests a second come for 10000 ms while a data centre is cut off from the others
    Then those of data centre a sent over 12 requests behind the cut
    And no server got more than its limit allows

  Scenario: What instances have not used when they were alone is not sent when they are again
    Given 4 more instances
    When all llm servers name 1 requests a second, and 40 stream requests a second come for 45000 ms while all are cut off from each other, twice
    Then no server got more than its limit allows

  Scenario: A large fleet
    Given 22 more instances
    When all llm servers name 1 requests a second, and 90 stream requests a second come for 9000 ms while the instance where its work meets is restarted
    Then no server got more than its limit allows
    And over 70 of 100 of what they take was used

  Scenario: An instance that starts is told before it sends anything
    Given server desk-1 has named 1 request a second
    When an instance starts while the store is out of reach
    Then it knows within 100 ms that desk-1 takes 1 a second

  Scenario: A limit that rises, and ends
    When server llm-1 names 1 request a second, and 60 stream requests a second come for 6000 ms
    And it names 2, and they come for 6000 ms more
    Then it got 9 to 15 of them
    When it names none, and they come for 6000 ms more
    Then it got over 20 of them

  Scenario: Many come at once after a pause
    # What was not sent for long is not sent at once.
    Given all desk servers have named 1 request a second
    When nothing comes for 20 s, and then 60 safe requests a second for 1000 ms
    Then no server got more than 3 requests

  Scenario Outline: A limit that ends while others have room is noticed
    When server <server> names 1 request a second, and 30 <kind> requests a second come for 4000 ms
    And it names none, and they come for 6000 ms more
    Then no instance takes it to be limited

    Examples:
      | server | kind   |
      | desk-1 | safe   |
      | llm-1  | stream |
      | enc-1  | staged |

  Scenario: A server that names nothing at all gets a request now and then
    When all desk servers name 0 requests a second, and 30 safe requests a second come for 25000 ms
    Then no server got more than its limit allows
    And each server got a request in its last 12000 ms

  Scenario: A server that starts again under its id is not limited
    Given server llm-1 has named 1 request a second
    When server llm-1 starts again without a limit, and 60 stream requests a second come for 6000 ms
    Then it got over 40 of them

  Scenario: Limits named by nobody for ten minutes are forgotten
    Given server desk-1 has named 1 request a second
    When nothing comes for 11 minutes, and then desk-2 names 1 a second
    Then no instance takes desk-1 to be limited
    And only desk-2 is counted for

  Scenario: The more urgent are served first
    When all desk servers name 2 requests a second, and 20 urgent and 20 other safe requests a second come for 9000 ms
    Then over 50 of 100 urgent ones were answered, and more than 4 times as many as of the others

  Scenario: When to come back is true
    When all desk servers name 2 requests a second, and 60 safe requests a second come for 5000 ms
    And whoever was refused in the last 500 ms comes back when it was told, alone
    Then over 90 of 100 of those that came back were answered

  Scenario: A caller that leaves while it waits for its turn
    Given all desk servers have named 1 request a second
    When a caller of an instance leaves while it waits for its turn
    Then its request reaches no server, and no server counts it as running

  Scenario: A server that is drained while a request waits for its turn there
    Given all desk servers have named 1 request a second
    When the server is drained at which a request waits for its turn
    Then it reaches another server only

  Scenario Outline: Which of two answers holds
    # Times are when the request was sent and when its answer was there.
    Given a server has named <known> a second in an answer from <sent> to <seen> ms
    When one from <sent 2> to <seen 2> ms names <named>
    Then it is taken to take <taken>

    Examples:
      | known | sent | seen | sent 2 | seen 2 | named | taken |
      | 1     | 100  | 200  | 200    | 250    | none  | none  |
      | 1     | 100  | 200  | 150    | 250    | none  | 1     |
      | 1     | 100  | 200  | 0      | 250    | none  | 1     |
      | none  | 100  | 200  | 150    | 250    | 1     | 1     |
      | none  | 100  | 200  | 0      | 90     | 1     | none  |
      | 1     | 100  | 200  | 150    | 250    | 3     | 1     |
      | 3     | 100  | 200  | 150    | 250    | 1     | 1     |
      | 1     | 100  | 200  | 210    | 250    | 3     | 3     |

  Scenario: Two answers that are passed on over slow links
    Given 5 instances in a ring, with links of 30 ms
    When one is told a limit of 1, and 20 ms later another one a limit of 3
    Then after 2000 ms all of them hold the same, and no message is under way

  Scenario: Answers that are passed on over links that are slower than they should be
    Given 5 instances in a ring, with links of 250 ms
    When one is told a limit of 1, and 600 ms later another one a limit of 3
    Then after 20000 ms no message is under way

  Scenario: A word that got lost is told again while answers come
    Given 5 instances in a ring, with links of 30 ms
    When one is told a limit of 1 while its links are down, and each second again
    Then after 6500 ms all of them hold the same, and no message is under way

  Scenario: Servers that named a limit are remembered up to a number
    Given an instance
    When 1100 servers name a limit, one each 10 ms
    Then it remembers the last 1024

  Scenario: Results at a server that limits what it takes
    When all enc servers name 2 requests a second, and 30 staged requests a second come for 9000 ms
    Then results are given up in less than half as many calls as pieces are made there
    And no server got more than its limit allows with those counted

  Scenario: Parts of a prompt at a server that it would have to wait for are fetched from there
    Given servers s1 and s2, of which s1 keeps 6000 tokens of a prompt
    When it would have to wait 500 ms for s1 and can wait 1000 ms
    Then s2 takes it at once, and fetches them from s1

  Scenario: Where it would have to wait everywhere, the shorter wait counts with the reading
    Given servers s1 and s2, of which s1 keeps 60 tokens of a prompt
    When it would have to wait 900 ms for s1, 100 ms for s2, and can wait 1000 ms
    Then it goes to s2

  Scenario: Who can wait comes back that much sooner
    Given all desk servers have named 1 request a second
    When requests that can wait 300 ms ask for a turn until one is turned away
    Then that one is to come back when it would wait 300 ms

  Scenario: A server with a limit is used where the others are crowded
    Given server desk-1 has named 5 requests a second
    When a safe request comes 1000 ms later, and the others have 30 calls each
    Then it goes to desk-1

  Scenario: A request waits for no limited server while others are free
    # Cold servers are left alone as well: one may be used where none is free.
    Given server desk-1 has named 1 request a second
    And server desk-2 is cold
    When a safe request that can wait 1000 ms is to try it
    Then another one takes it at once

  Scenario: A caller that leaves during the stages, with its turn kept
    Given all llm servers have named 1 request a second
    When a caller of an instance leaves while its stages run
    Then where prompts meet none is counted any more

  Scenario: A limit becomes known while the stages of requests run
    When 4 staged requests come, and 200 ms later all llm servers name 1 request a second
    Then all 4 are answered

  Scenario: A stage server with a limit gets what the others leave
    Given server enc-0 has named 3 requests a second
    When 10 staged requests come one after the other, 1000 ms later
    Then enc-0 gets no call

  Scenario: Requests whose stages cannot be made in time are refused at once
    When all enc servers name 0.5 requests a second, and 30 staged requests a second come for 9000 ms
    Then over 95 of 100 refusals came within 5 ms
    And over 60 requests were answered
    And calls held 6 pieces or more on the average

  Scenario: A call does not wait for long for more pieces than there are
    Given all enc servers have named 0.1 request a second
    When a staged request comes alone, 12000 ms later
    Then it is answered on time

  Scenario: What was held back at a server whose limit has ended is given up
    Given server enc-1 has named 3 requests a second
    When 30 staged requests a second come for 3000 ms, and it names none for 1000 ms more
    Then nothing is held back, and nothing is counted for it

  Scenario: Large results at servers that limit what they take
    # They are given up in time for others, by calls that count.
    Given a result of a stage takes 12 of the 100 MB that a server has
    When all enc servers name 2 requests a second, and 20 staged requests a second come for 9000 ms
    Then over 100 requests were answered
    And no server got more than 10 requests in 4 s, those counted
