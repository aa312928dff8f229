@platform
Feature: Answers that end with their connection
  # Guards against a part of a body that callers take for the whole one: an answer without a length
  # and without chunks was passed on with a length of its own, whatever ended the connection.
  Scenario Outline: A server breaks off an answer that has neither a length nor chunks
    Given an instance on loopback whose servers answer without a length
    And the first server sends a part of its answer, then <end>
    When one <kind> request goes to it by HTTP/1.1
    Then the outcome is status <status> with <body>, sent to <servers> servers

    Examples:
      | kind      | end                                          | status | body             | servers |
      | safe      | ends and resets the connection               | 200    | the whole body   | 2       |
      | unsafe    | ends and resets the connection               | 502    | no server's body | 1       |
      | safe      | ends the connection and resets it 20 ms later | 200    | the whole body   | 2       |
      | unsafe    | ends the connection and resets it 20 ms later | 502    | no server's body | 1       |
      | safe      | resets the connection                        | 200    | the whole body   | 2       |
      | unsafe    | resets the connection                        | 502    | no server's body | 1       |
      | safe      | resets the connection 150 ms later           | 200    | the whole body   | 2       |
      | unsafe    | resets the connection 150 ms later           | 502    | no server's body | 1       |
      | safe      | crashes                                      | 200    | the whole body   | 2       |
      | unsafe    | crashes                                      | 502    | no server's body | 1       |
      | resumable | ends the connection and resets it 20 ms later | 200    | all events       | 2       |
      | stream    | ends the connection and resets it 20 ms later | 200    | an open end      | 1       |

  # Guards against a part that is taken for whole since the data centre of a server that crashed was
  # drained meanwhile: a drain ends no server, as leaving does.
  Scenario: A server crashes within an answer without a length as its data centre is drained
    Given an instance on loopback whose servers answer without a length
    And the first server sends a part of its answer, then crashes as its data centre is drained
    When one unsafe request goes to it by HTTP/1.1
    Then the outcome is status 502 with no server's body, sent to 1 servers

  # Guards against a length of ours on a part of a body: a server that goes on and ends the connection
  # has claimed no more than one whose answer is whole.
  Scenario Outline: A caller is told no more about the end of an answer than its server told
    Given an instance on loopback whose servers answer without a length
    And the first server sends <answer>, then ends the connection
    When one <kind> request goes to it by <version>
    Then the outcome is <answer> that ends with its connection

    Examples:
      | kind      | answer           | version                          |
      | safe      | a whole answer   | HTTP/1.1                         |
      | unsafe    | a whole answer   | HTTP/1.1                         |
      | safe      | a whole answer   | HTTP/1.0                         |
      | unsafe    | a whole answer   | HTTP/1.0 with a kept connection  |
      | safe      | a part           | HTTP/1.1                         |
      | unsafe    | a part           | HTTP/1.1                         |
      | stream    | a whole answer   | HTTP/1.1                         |
      | resumable | a whole answer   | HTTP/1.1                         |
      | stream    | a whole answer   | HTTP/1.0                         |
      | stream    | a whole answer   | HTTP/1.0 with a kept connection  |

  # Guards against answers that are lost by the close of a connection: the next request on it waits.
  Scenario: A caller that sends two requests at once gets the first answer and a close
    Given an instance on loopback whose servers answer without a length
    When two safe requests are sent to it at once
    Then the outcome is a whole answer that ends with its connection
    And the second request has not run

  # Guards against a part of an answer that looks whole to callers of HTTP/1.0: the product's own
  # interface closed their connections in order.
  Scenario Outline: An answer that fails within looks incomplete
    Given a web server of <interface>, whose application fails within its answer
    When it is sent a request by <version>
    Then its answer looks incomplete

    Examples:
      | interface                   | version                         |
      | the product's own interface | HTTP/1.1                        |
      | the product's own interface | HTTP/1.0                        |
      | the product's own interface | HTTP/1.0 with a kept connection |
      | the ingress                 | HTTP/1.1                        |
      | the ingress                 | HTTP/1.0                        |

  # Guards against servers that count as busy for good since their callers left.
  Scenario: A caller leaves while an error without a length is read for its stream
    Given an instance on loopback whose servers answer without a length
    And they answer with status 404, and end the connection 200 ms later
    When a caller sends a stream request and leaves after 100 ms
    Then no request counts as in flight at a server

  Scenario Outline: A relayed answer claims no more than its server did
    Given an instance on loopback whose servers answer without a length
    And the first server sends a part of its answer, then <end>
    When a <kind> request is relayed to it by another instance
    Then the outcome is <outcome>

    Examples:
      | kind   | end                                           | outcome                         |
      | safe   | ends the connection                           | a part that ends with its connection |
      | unsafe | ends the connection                           | a part that ends with its connection |
      | safe   | ends the connection and resets it 20 ms later | the whole body                  |
      | unsafe | ends the connection and resets it 20 ms later | status 502                      |
