@platform
Feature: Messages that end before they are whole
  # Guards against an answer that its sender broke off and that is taken for a whole one: a
  # connection that was closed between two lines of a head ended the head, so that callers were
  # given a status 200 with an empty body. Each message is cut behind each of its bytes.

  Scenario Outline: An answer of a server that is cut anywhere is no whole answer
    Given a backend server whose answers <form> are cut behind each byte
    When requests are sent to it, one for each cut
    Then no cut answer was read as a whole one, and each request may have run
    And the whole answer was read

    Examples:
      | form                                     |
      | with a length                            |
      | with a length of 0                       |
      | without a length                         |
      | in chunks                                |
      | in chunks whose sizes have leading zeros |
      | in chunks with an extension              |
      | in chunks with a trailer                 |
      | behind an interim response               |

  # The caller is told what has become of the request: one that may run again does so elsewhere.
  Scenario Outline: What a caller gets where the first server breaks off within the head
    Given an instance on loopback whose servers break the first head off, then <conduct>
    When a caller sends it a <kind> request
    Then the caller gets status <status> with <body>, after <servers> of them had it

    Examples:
      | kind      | conduct       | status | body             | servers |
      | safe      | answer        | 200    | the whole body   | 2       |
      | unsafe    | answer        | 502    | no server's body | 1       |
      | stream    | send a stream | 502    | no server's body | 1       |
      | resumable | send a stream | 200    | all events       | 2       |

  Scenario Outline: Other answers of a server that are cut anywhere are not believed
    Given a backend server whose answers <form> are cut behind each byte
    When <call> is made, once for each cut
    Then only the whole answer was believed

    Examples:
      | call                    | form                       |
      | a call with pieces      | with results               |
      | a call with pieces      | with results in chunks     |
      | a health check          | that tell health           |
      | a question for its start | with a report             |

  Scenario Outline: An answer of the store that is cut anywhere is no answer
    # Guards against a change of rows that is taken for done, and a table that is taken for empty.
    Given a store whose answers <form> are cut behind each byte
    When <call> is made of it, once for each cut
    Then each cut one failed with code <code>, and the whole one did not

    Examples:
      | call                       | form                    | code |
      | a reading of a table       | with a page             | 5001 |
      | a reading of a table       | with a page in chunks   | 5001 |
      | a change of rows           | with an empty object    | 5002 |
      | a change of rows           | with a page in chunks   | 5002 |

  Scenario Outline: An answer of another instance that is cut anywhere is no whole answer
    Given an instance whose answers <form> are cut behind each byte
    When requests are relayed to it, one for each cut
    Then no cut answer was read as a whole one, and each request may have run
    And the whole answer was read

    Examples:
      | form                     |
      | with a length            |
      | in chunks                |

  Scenario Outline: An answer on the product's own interface that is cut anywhere is no result
    Given a stage's server whose answers <form> are cut behind each byte
    When the stage is run there, once for each cut
    Then no cut answer was read as a whole one, and each request may have run
    And the whole answer was read

    Examples:
      | form                     |
      | with a length            |
      | in chunks                |
      | in chunks with a trailer |

  Scenario Outline: A request that is cut anywhere never runs
    Given an ingress whose forwarder answers "yes"
    When a request <form> is sent up to each of its bytes, and the caller's side is closed
    Then only the whole request was run

    Examples:
      | form                     |
      | without a body           |
      | with a length            |
      | in chunks                |
      | in chunks with a trailer |
