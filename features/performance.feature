Feature: How fast each backend server is
  # Each scenario guards one decision: without it a slow server gets as much work as a fast one, or
  # a moment of slowness or plain chance is taken for a lasting difference.

  Scenario Outline: A lasting difference is found within 10 samples
    Given 9 servers of a service that take the usual time, and x at <times> times that
    When each of them does work 10 times
    Then the lasting factor of x is about <factor>, and that of the others exactly 1.0

    Examples:
      | times | factor |
      | 1.7   | 1.7    |
      | 0.6   | 0.6    |
      | 1.1   | 1.0    |

  Scenario Outline: Factors are limited to between a quarter and four times
    Given 9 servers of a service that take the usual time, and x at <times> times that
    When each of them does work 99 times
    Then the lasting factor of x is exactly <factor>

    Examples:
      | times | factor |
      | 20    | 4.0    |
      | 0.05  | 0.25   |

  Scenario: Fewer than 8 samples do not count
    Given 9 servers of a service that take the usual time, and x at 1.7 times that
    When each of them does work 7 times
    Then the lasting factor of x is exactly 1.0

  Scenario: A service of which all servers take longer than configured has no slow servers
    Given 9 servers of a service that take 2.2 times the usual time
    When each of them does work 30 times
    Then all lasting factors are exactly 1.0

  Scenario: Types of work with different units do not disturb each other
    Given 9 servers of a service that take the usual time, and x at 1.7 times that
    When each of them does work 10 times, each time also measured as a pause of 20 ms
    Then the lasting factor of x is about 1.7, and that of the others exactly 1.0

  Scenario: Spells are not learnt as speed
    Given 9 servers of a service that take the usual time, and x at 1.7 times that
    And for 600 ms of each 4 s one after the other takes 2.5 times as long
    When each of them does work 4 times a second for 40 s
    Then the lasting factor of x is about 1.7, and that of the others exactly 1.0 all the time

  Scenario: A lasting difference stays known while only slow servers work
    Given 9 servers of a service that take the usual time, and x at 1.7 times that
    And each of them has done work 12 times
    When x does work 40 more times
    Then the lasting factor of x is about 1.7, and that of the others exactly 1.0

  Scenario: The first times of a service show no spell, as the usual time is not known yet
    Given 9 servers of a service that take the usual time
    When work on server-1 takes 0.3 times as long as usual
    And work on server-2 takes 1.0 times as long as usual
    Then server-2 is not assumed to be in a spell

  Scenario: Equal servers whose times vary by chance stay equal
    Given 45 servers of a service that take the usual time
    When each of them does work 20 times, with times that vary by half
    Then at most 1 of the lasting factors is not exactly 1.0

  Scenario: Work of a cold server says nothing about its speed
    Given 9 servers of a service that take the usual time, and x at 1.7 times that
    And x is cold
    When each of them does work 10 times
    Then the lasting factor of x is exactly 1.0

  Scenario Outline: A spell is assumed for 600 ms after work that is slower than the lasting factor predicts
    Given 9 servers of a service that take the usual time, and x at 1.7 times that
    And each of them has done work 10 times
    When <work> on x <takes> <times> times as long as usual
    Then x <is> assumed to be in a spell
    And x is not assumed to be in a spell 600 ms later

    Examples:
      | work         | takes     | times | is     |
      | work         | takes     | 4.2   | is     |
      | work         | takes     | 2.8   | is not |
      | overdue work | has taken | 4.2   | is     |
      | overdue work | has taken | 2.8   | is not |

  Scenario: Work on servers whose times vary widely is not taken for a spell
    Given 9 servers of a service that take the usual time
    And each of them has done work 40 times, with times that vary by half
    When work on server-1 takes 2.2 times as long as usual
    Then server-1 is not assumed to be in a spell

  Scenario Outline: The current speed that a server reports counts for 200 ms and is never learnt
    Given 9 servers of a service that take the usual time
    And each of them has done work 10 times
    When server-1 reports 20 times that work takes <times> times as long at present
    Then server-1 <is> assumed to be in a spell
    And the lasting factor of server-1 is exactly 1.0
    And server-1 is not assumed to be in a spell 200 ms later

    Examples:
      | times | is     |
      | 2.5   | is     |
      | 1.2   | is not |

  Scenario Outline: Of two coordinators the one with more samples is believed, then the younger
    Given 9 servers of a service that take the usual time, and x at 1.7 times that
    And each of them has done work 10 times
    When another coordinator reports that x takes 3.0 times as long, by <samples> samples <age> ms old
    Then the lasting factor of x is about <factor>

    Examples:
      | samples | age   | factor |
      | 11      | 100   | 3.0    |
      | 9       | 0     | 1.7    |
      | 10      | -5    | 3.0    |
      | 10      | 100   | 1.7    |
      | 18      | 70000 | 1.7    |
      | 24      | 70000 | 3.0    |

  Scenario: Equal servers whose times vary by chance are equal for those who are sent their speeds
    Given 45 servers of a service that take the usual time
    When each of them does work 20 times, with times that vary by half
    And an instance that knows nothing is sent the speeds
    Then it assumes no more servers to differ than the sender

  Scenario: Times that vary widely show no spells to those who were sent the speeds of the servers
    Given 45 servers of a service that take the usual time
    When each of them does work 20 times, with times that vary by half
    And an instance that knows nothing is sent the speeds
    And that instance measures 450 times of work that vary by half
    Then it finds at most 15 spells

  Scenario: What was measured a minute ago loses half of its samples
    Given 9 servers of a service that take the usual time, and x at 1.7 times that
    And each of them has done work 12 times
    When 61 s pass in which the others do work
    Then the lasting factor of x is exactly 1.0

  Scenario: The entry of a server that is not listed any more is dropped
    Given 9 servers of a service that take the usual time, and x at 1.7 times that
    And each of them has done work 10 times
    When x is no longer listed
    Then nothing is known of x
    When each of them does work 12 times
    Then the lasting factor of x is about 1.7

  Scenario Outline: A slow server gets calls with fewer pieces unless the others cannot take the rest
    Then a server with factor <factor> gets <pieces> of <waiting> waiting pieces if the others can take <others>

    Examples:
      | factor | waiting | others | pieces |
      | 1.0    | 100     | 40     | 40     |
      | 0.7    | 100     | 40     | 40     |
      | 2.0    | 30      | 40     | 20     |
      | 2.0    | 60      | 40     | 20     |
      | 2.0    | 61      | 40     | 40     |
      | 50     | 30      | 40     | 1      |

  Scenario: Stage calls go to faster servers first and count on their times
    Given stage servers of which fast takes 0.6 times, usual 1.0 times and slow 1.7 times as long
    Then free servers are used in the order fast, usual, slow
    And the throughput of slow is expected to be 1.7 times lower than that of usual
    And a call to slow is expected to take 1.7 times as long, and counts as on time at that speed
    And a call to slow has fewer pieces while few wait, and one to usual has not

  Scenario: Waiting pieces do not go to a server in a spell if busy ones would complete them sooner
    Given stage servers of which fast takes 0.6 times, usual 1.0 times and slow 1.7 times as long
    When slow is in a spell and the others are about to end their calls
    Then it is better to wait than to send pieces to slow

  Scenario: Prompts go to the faster one of two idle servers
    Given model servers of which fast takes 0.6 times and slow 1.7 times as long
    Then a prompt is placed on fast

  Scenario: Prompts avoid a server in a spell
    Given model servers of which fast takes 0.6 times and slow 1.7 times as long
    When fast is in a spell of 4 times
    Then a prompt is placed on slow

  Scenario Outline: The speed of model servers is learnt from prompts and from events
    Given model servers of equal speed so far, as their placement coordinator knows
    When 12 prompts on each are reported with <measured>, on slow 1.7 times as long
    Then the coordinator knows that slow takes about 1.7 times as long
    And the usual reading speed is that of the usual servers

    Examples:
      | measured              |
      | the first event's time |
      | the pause of events   |

  Scenario: Prompts on a slow server do not change the usual reading speed, nor count as slowness
    Given model servers of which fast takes 0.6 times and slow 1.7 times as long
    When 40 prompts are placed on slow and take 1.7 times as long as usual
    Then the usual reading speed is that of the usual servers
    And slow is as fast as its lasting speed predicts

  Scenario: Slowness measured before the lasting factor was known does not come on top of it
    Given 9 servers of a service that take the usual time, and x at 1.7 times that
    When each of them does work 12 times, which also counts for its slowness
    Then x was never expected to take more than 1.8 times as long

  Scenario: Plain calls go to the faster server, whose time does not count as usual
    Given servers of plain calls of which fast takes 0.6 times and slow 1.7 times as long
    When 100 plain calls are sent, one at a time
    Then the router expects about 0.6 times of fast and 1.7 times of slow
    When fast is in a spell of 4 times
    Then the router expects 4 times as long of fast as before

  Scenario Outline: The pace of a stream is measured from its events, but not from its caller
    When a stream delivers <events> more events 25 ms apart, its caller taking <held> ms for each
    Then its mean pause is <pause> ms

    Examples:
      | events | held | pause |
      | 20     | 0    | 25    |
      | 20     | 2    | 25    |
      | 20     | 10   | 0     |
      | 7      | 0    | 0     |

  @forwarding
  Scenario: The standby of a coordinator knows the speeds that the coordinator has learnt
    Given a forwarding fleet of instances a-1, a-2, b-1
    And 6 stage servers and 4 model servers, of which enc-0 and llm-0 take 1.7 times as long
    When staged requests come for 12 s over all instances
    And 2500 ms go by
    Then the coordinator and the standby of service enc know that enc-0 takes 1.7 times
    And the coordinator and the standby of the prompts know that llm-0 takes 1.7 times
    And no other instance was sent speeds of service enc
    And only coordinators have sent speeds
    And the coordinator of the prompts has measured pauses of about 10 ms between events
    When 6000 ms go by
    Then no speeds were sent in that time

  @forwarding
  Scenario: The coordinators of a divided service tell each other what they have learnt
    Given a forwarding fleet of instances a-1, a-2, b-1, b-2
    And 6 stage servers of service enc in each of data centres a, b
    When a coordinator in data centre a knows that enc-b0 takes 1.7 times as long as the others
    And 2500 ms go by
    Then the coordinator in data centre b knows it too

  @forwarding
  Scenario: Speeds of more servers than fit into one message follow in the next
    Given a forwarding fleet of instances a-1, a-2, b-1
    And 70 stage servers and 4 model servers, of which enc-0 and llm-0 take 1.0 times as long
    When the coordinator of service enc has learnt the speed of 70 servers
    And 2100 ms go by
    Then its standby was sent 64 of them
    When 2100 ms go by
    Then its standby was sent 70 of them

  @forwarding
  Scenario: A standby that restarts under its old address is sent everything again
    Given a forwarding fleet of instances a-1, b-1
    And 6 stage servers and 4 model servers, of which enc-0 and llm-0 take 1.0 times as long
    When the coordinator of service enc has learnt the speed of 6 servers
    And 2100 ms go by
    And its standby restarts
    And 4200 ms go by
    Then its standby was sent 6 of them

  Scenario: Spells and changes of speed are logged once in 2 s for each server
    Given 9 servers of a service that take the usual time
    And each of them has done work 10 times
    When server-1 begins 20 spells within 6 s
    Then 20 spells were counted and at most 4 logged

  @forwarding
  Scenario: A slow server gets fewer pieces of a stage, since faster ones will take the rest
    Given a forwarding fleet of instances a-1, a-2, b-1
    And 6 stage servers and 4 model servers, of which enc-0 and llm-0 take 2.0 times as long
    When the coordinator of service enc knows that enc-0 takes 2 times as long as the others
    And it is given a stage of 48 pieces
    Then the calls to enc-0 have 4 pieces, and the first ones to others 8

  @forwarding
  Scenario: An overdue stage call shows a spell before it has ended
    Given a forwarding fleet of instances a-1, a-2, b-1
    And 6 stage servers and 4 model servers, of which enc-0 and llm-0 take 4.0 times as long
    When the coordinator of service enc knows that enc-0 takes 1 times as long as the others
    And it is given a stage of 48 pieces
    And 500 ms go by
    Then the coordinator of service enc assumes a spell of enc-0 alone

  @forwarding
  Scenario: Plain calls are learnt from where they are sent, and calls placed by their prompt are not
    Given a forwarding fleet of instances a-1, a-2, b-1
    And 6 stage servers and 4 model servers, of which enc-0 and llm-0 take 1.0 times as long
    And servers desk-1, desk-2 of service desk and desk-3, desk-4 of service desk
    When staged requests come for 1 s over all instances
    And a plain request is sent to a-1
    Then a-1 has measured plain calls of service desk only

  @forwarding
  Scenario: A server that is no longer listed is forgotten
    Given a forwarding fleet of instances a-1, a-2, b-1
    And 6 stage servers and 4 model servers, of which enc-0 and llm-0 take 1.7 times as long
    When staged requests come for 6 s over all instances
    And enc-0 is gone
    Then no instance knows anything of enc-0

  @forwarding
  Scenario: The speed of a server whose entry is missing for a moment is not forgotten
    Given a forwarding fleet of instances a-1, a-2, b-1
    And 6 stage servers and 4 model servers, of which enc-0 and llm-0 take 1.7 times as long
    When staged requests come for 6 s over all instances
    And the entry of enc-0 has been missing for 500 ms
    Then the coordinator of service enc still knows that enc-0 takes 1.7 times as long

  @forwarding
  Scenario: With learn_speeds off nothing is learnt and messages of others are ignored
    Given learn_speeds is off
    And a forwarding fleet of instances a-1, a-2, b-1
    And 6 stage servers and 4 model servers, of which enc-0 and llm-0 take 1.7 times as long
    When staged requests come for 6 s over all instances
    And another instance sends speeds to a-1
    Then every server counts as usual at every instance

  @forwarding
  Scenario: Equal servers are used the same with learning as without
    Given a series of staged requests over 6 equal stage servers and 4 equal model servers
    When it is sent with learn_speeds on and off
    Then every call went to the same server at the same time with the same pieces

  Scenario Outline: The fourth value of a server's load is decoded as its current speed
    Given a backend server that answers "<answer>"
    When <what> is sent to it
    Then its reports of its current speed are "<factors>"

    Examples:
      | answer                     | what         | factors |
      | load of 4 values           | request r1   | 2.5     |
      | load of 4 values, full     | request r1   | 0.7     |
      | load of 4 values, results  | a stage call | 1.705   |
      | load of 4 values, replaced | request r1   |         |
      | load of 3 values           | request r1   |         |
      | load with speed 0          | request r1   |         |
      | load with a word           | request r1   |         |
      | load with nan              | request r1   |         |
      | load below zero            | request r1   |         |
      | load ending in a comma     | request r1   |         |
      | whole                      | request r1   |         |
