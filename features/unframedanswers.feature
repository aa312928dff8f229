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
