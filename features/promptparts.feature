@forwarding
Feature: Requests with one prompt part in common that crash the servers which answer them
  # Guards against a part of a prompt that crashes one server after another. No two requests with it
  # were alike, so that quarantine took each for a first offence: in one evening 18 of 12 model
  # servers and their successors crashed under one part in 30 s, and with each the streams of others.

  Background:
    Given a forwarding fleet of instances a-1, a-2, a-3, b-1, b-2, b-3
    And model servers llm-1 to llm-12, which restart under new ids 3000 ms after a crash

  Scenario: The log names the prompt parts of the requests that a crashed server had in flight
    # Guards against logs that cannot tell a deadly part from a deadly request or a failing server.
    Given the log lines are recorded
    And a deadly prompt part "p" second in the prompt
    When a request with parts "f1, p" comes at a-1
    Then the lines about the crash name the fingerprints of "f1" and "p" and no request begun
    And the line about the receipt of the request names them as well

  Scenario Outline: A prompt part that crashes servers is kept from them, and sound requests are served
    Given a deadly prompt part "p" <where> in the prompt
    When requests with it come every <every> ms for 38 s, beside sound ones
    Then at most 3 requests with it are sent later than 3000 ms after the fifth crash
    And at most <crashes> servers have crashed
    And over 0.9 of the sound requests from 6000 ms after the last free crash on are served
    And each instance refuses a request with it with code 2010 as not_run within 5 ms

    Examples: How often they come
      | where                         | every | crashes |
      | second                        | 900   | 4       |
      | second                        | 300   | 6       |
      | second                        | 4000  | 4       |
      | first                         | 900   | 4       |
      | first                         | 300   | 6       |

    Examples: What is beside the part
      | where                         | every | crashes |
      | second after one first part   | 900   | 4       |
      | second after two first parts  | 900   | 6       |
      | among parts of one request    | 900   | 4       |
      | fourth after three alike      | 900   | 4       |
      | last of 24 shared parts       | 900   | 4       |

  Scenario: For as long as requests with it come, few servers are lost to trials
    Given a deadly prompt part "p" second in the prompt
    When requests with it come every 900 ms for 180 s, beside 2 sound ones a second
    Then at most 3 requests with it are sent later than 3000 ms after the fifth crash
    And at most 5 servers have crashed

  Scenario Outline: Requests with it are kept from servers whichever kind they are, and when they crash
    Given a deadly prompt part "p" second in the prompt
    And <detail>
    When <kind> requests with it come every 900 ms for 20 s, beside sound ones
    Then at most 3 requests with it are sent later than 3000 ms after the fifth crash
    And at most <crashes> servers have crashed
    And over 0.9 of the sound requests from 6000 ms after the last free crash on are served

    Examples:
      | detail                                           | kind      | crashes |
      | it crashes servers as they begin to answer       | resumable | 4       |
      | it crashes servers as they begin to answer       | staged    | 5       |
      | it crashes servers 100 ms after the first event  | stream    | 5       |
      | it crashes servers 400 ms after the first event  | stream    | 5       |
      | it crashes servers 100 ms after the first event  | resumable | 5       |
      | it crashes servers 400 ms after the first event  | resumable | 5       |
      | their callers retry them at once                 | resumable | 5       |
      | its letters are of either case                   | stream    | 4       |
      | its crashes look like the end of an answer       | stream    | 6       |
      | its servers do not answer after a crash          | stream    | 11      |
      | its servers do not answer after a crash          | resumable | 15      |

  Scenario Outline: Instances that start again keep it from servers
    # Guards against a bar that one process alone remembers.
    Given a deadly prompt part "p" second in the prompt
    And <event> after the third crash
    When requests with it come every 900 ms for 38 s, beside sound ones
    Then at most 3 requests with it are sent later than 3000 ms after the fifth crash
    And at most 6 servers have crashed
    And over 0.9 of the sound requests from 9000 ms after the last free crash on are served

    Examples:
      | event                                       |
      | all instances restart one after the other   |
      | all instances are killed and restart        |
      | all instances restart 3 times in a row      |
      | the store is restored from an older copy    |

  Scenario Outline: A bar survives a loss of all instances
    # Guards against bars that only processes remember: each loss of all would cost three servers.
    Given a deadly prompt part "p" second in the prompt
    And it was barred
    When <event>
    And requests with it come at every instance at once, every 500 ms for 8 s
    Then no more servers have crashed

    Examples:
      | event                                                                |
      | all instances are killed and restart                                 |
      | the store is restored from a copy, and all instances restart after it |

  Scenario: Instances cut off from each other keep it from servers, each side by what it sees
    Given a deadly prompt part "p" second in the prompt
    And data centres a and b cannot reach each other
    When requests with it come every 900 ms for 20 s, beside sound ones
    Then at most 8 servers have crashed
    When data centres a and b are connected again
    And requests with it come every 900 ms for 5 s, beside sound ones
    Then at most 8 servers have crashed

  Scenario: Two parts that crash servers, by turns
    Given a deadly prompt part "p" second in the prompt
    And a deadly prompt part "q" second in the prompt
    When requests with either come by turns every 900 ms for 38 s, beside sound ones
    Then at most 3 requests with it are sent later than 3000 ms after the fifth crash
    And at most 9 servers have crashed
    And over 0.9 of the sound requests from 6000 ms after the last free crash on are served

  Scenario Outline: Sound requests that share the part beside it with the deadly ones are served
    # Guards against blame for a part that is at every crash only because the deadly part is.
    Given a deadly prompt part "p" second in the prompt
    When requests with parts "f0, p" come every 900 ms for 38 s, and with parts "f0, s1" every <ms> ms
    Then at most 5 servers have crashed
    And over <share> of the sound requests from 6000 ms after the last free crash on are served

    Examples:
      | ms    | share |
      | 200   | 0.95  |
      | 1000  | 0.95  |
      | 5000  | 0.95  |

  Scenario: A part that most requests share begins to crash servers
    # Guards against earlier answers that clear a part for ever.
    Given requests with parts "f0, s1" come every 100 ms for 5 s, and with parts "f1, s1" every 500 ms
    And a deadly prompt part "f0" first in the prompt
    When requests with parts "f0, s1" come every 400 ms for 20 s, and with parts "f1, s1" every 500 ms
    Then at most 3 requests with it are sent later than 3000 ms after the fifth crash
    And over 0.9 of the sound requests from 6000 ms after the last free crash on are served

  Scenario: Servers that crash by themselves bar no part
    When sound requests come for 40 s while a server crashes every 800 ms
    Then no part is barred
    And over 0.8 of the sound requests are served

  Scenario Outline: Servers that crash together bar no part that all requests share
    # Guards against a loss of all servers that is blamed on what their requests have in common.
    When requests with parts "f0, s1" come every 40 ms for <ms> ms
    And all model servers crash within <within> ms
    And requests with parts "f0, s1" come every 40 ms for 12000 ms
    Then no part is barred
    And over 0.9 of the sound requests of the last 6000 ms are served

    Examples:
      | ms   | within |
      | 3000 | 0      |
      | 3000 | 200    |

  Scenario: A deadly part beside a request that is deadly by itself
    Given a deadly prompt part "p" second in the prompt
    And a deadly stream request with parts "f3, s3" comes every 1300 ms as well
    When requests with it come every 900 ms for 20 s, beside sound ones
    Then at most 3 requests with it are sent later than 3000 ms after the fifth crash
    And at most 8 servers have crashed
    And over 0.9 of the sound requests from 6000 ms after the last free crash on are served

  Scenario: A bar expires, and one request at a time tries the part
    # Guards against all callers returning at once, each to a server of its own.
    Given a deadly prompt part "p" second in the prompt
    And it was barred, and its bar has expired
    When requests with it come at every instance at once, every 500 ms for 8 s
    Then one more server has crashed
    And all refuse it for 600 s

  Scenario: A part that is answered after its bar is cleared everywhere
    Given a deadly prompt part "p" second in the prompt
    And it was barred, and its bar has expired
    When the model is repaired
    And requests with it come at every instance at once, every 500 ms for 8 s
    Then the last 6 of them are served
    And the part is suspect nowhere
    And the table of parts is empty

  Scenario: An operator clears a part at one instance, and all apply it
    Given a deadly prompt part "p" second in the prompt
    And it was barred
    When the model is repaired
    And an operator clears the part at b-2
    And requests with it come at every instance at once, every 500 ms for 1 s
    Then the last 6 of them are served
    And the table of parts is empty

  Scenario Outline: A request that waits is ended as soon as a part of it is barred
    # Guards against stages, servers and callers' time spent on a request that will not be sent.
    Given stage servers enc-1 to enc-4
    When a <kind> request with part "p" is sent, and the part is barred <when>
    Then the request ends with code <code> as <class> within 20 ms of the bar
    And no server was sent the request after the bar

    Examples:
      | kind      | when                                         | code | class   |
      | staged    | while its stages run                         | 3017 | failed  |
      | staged    | while a server is chosen                     | 3017 | failed  |
      | stream    | while a server is chosen                     | 2010 | not_run |
      | resumable | while a server is chosen                     | 2010 | not_run |

  Scenario: No second server is sent a request with a part that was barred meanwhile
    Given the first server is silent for 1200 ms
    When a resumable request with part "p" is sent, and the part is barred 300 ms later
    Then one server was sent the request, and answers it whole

  Scenario: An instance that reaches no server has a request with a barred part refused
    Given the instances have received requests before
    And a-1 reaches no backend server
    And part "p" was barred at b-1
    When a stream request with part "p" comes at a-1
    Then its answer has status 503, and no server was sent it

  Scenario: Peers of an older build are not told of parts
    Given all peers of a-1 are of a build that does not know prompt parts
    When part "p" is barred at a-1
    Then only a-1 knows of it

  Scenario: An instance that starts late gets all suspicions of parts
    Given part "p" was barred at a-1
    When instance a-4 starts
    Then a-4 knows of it

  Scenario: What a crash makes suspect is bounded, and holds what was suspect before
    Given part "p" was suspect before
    When a server crashes while it had 100 requests with 24 parts each, the last one with "p"
    Then at most 64 parts are suspect of that crash, "p" among them

  Scenario: A part that nearly all requests share is cleared with few messages
    Given sound requests with part "f0" come every 20 ms for 3 s
    When a server crashes meanwhile
    Then at most 60 messages about parts were sent
    And no part is suspect

  Scenario Outline: What is no answer clears no part
    # Guards against a stream that ends within an event, and a deadly part that it clears.
    Given part "p" was suspect before
    And every model server has fault "<fault>"
    When a stream request with part "p" comes at a-1
    Then part "p" is still suspect

    Examples:
      | fault    |
      | cut      |
      | error    |
      | unsigned |
