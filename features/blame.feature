Feature: Which requests are barred after server crashes
  # Most requests in flight at a server crash are unaffected. Guards against barring one of those, and
  # against letting a request that crashes servers crash a fourth one.

  Scenario Outline: Which crashes bar a request
    Given a quarantine registry
    When servers crash while they run a request: <crashes>
    And servers crash without it: <others>
    Then the request is <outcome>

    # Each crash: how long the server had run the request, and when it crashed, in milliseconds.
    Examples:
      | crashes                                              | others | outcome |
      | 60 at 0                                              | none   | suspect |
      | 60 at 0, 60 at 1000                                  | none   | barred  |
      | 60 at 0, 900 at 1000                                 | none   | suspect |
      | 900 at 0, 900 at 2000, 900 at 4000                   | none   | barred  |
      | 60 at 0, 60 at 1000                                  | 500    | suspect |
      | 60 at 0, 60 at 1000                                  | -50000 | suspect |
      | 60 at 0, 60 at 1000                                  | -70000 | barred  |
      | 60 at 0, 60 at 1000, 60 at 2000                      | 500    | barred  |
      | 60 at 0, 60 at 20, 60 at 40                          | none   | suspect |
      | 900 at 0, 900 at 20, 900 at 2000                     | none   | suspect |
      | 60 shared at 0, 60 shared at 1000                    | none   | suspect |
      | 60 shared at 0, 60 at 1000                           | none   | suspect |
      | 60 shared at 0, 60 shared at 1000, 60 shared at 2000 | none   | barred  |

  Scenario Outline: A recent answer before the crash clears the request
    Given a quarantine registry
    And a request that was answered completely <when>
    When servers crash while they run a request: 60 at 0
    Then the request is <outcome>

    Examples:
      | when            | outcome     |
      | 50000 ms before | not suspect |
      | 70000 ms before | suspect     |

  Scenario: A request that one instance has answered is not suspect where it meets a crash at another
    Given quarantine registries of two instances that exchange updates
    And a request that was answered completely at the first
    When a server crashes while it runs the request at the second
    Then neither suspects it

  Scenario: A copy of a suspect waits until the copy in flight has run longer than those that met crashes
    Given a quarantine registry
    When servers crash while they run a request: 60 at 0
    And a copy of it is sent, and another one is due
    Then the other one waits for 220 ms

  Scenario: A copy of a suspect is sent as soon as the copy in flight is answered
    Given a quarantine registry
    When servers crash while they run a request: 60 at 0
    And a copy of it is sent, and another one is due
    And the copy is answered completely after 90 ms
    Then the other one waits for 90 ms

  Scenario: A copy of a suspect is refused as soon as the copy in flight crashes a server
    Given a quarantine registry
    When servers crash while they run a request: 60 at 0
    And a copy of it is sent, and another one is due
    And after 90 ms a server crashes while it runs the copy
    Then the other one is refused after 90 ms

  Scenario: A copy of a suspect that ran for long before the crash waits for at most a second
    Given a quarantine registry
    When servers crash while they run a request: 9000 at 0
    And a copy of it is sent, and another one is due
    Then the other one waits for 1000 ms

  Scenario: A second connection lost to a server that has just crashed causes no second probe
    Given a crash detector
    When two connections to a crashed server break 100 ms apart
    Then it was probed once, and both are reported for the same incarnation
    When two connections to a crashed server break 5000 ms apart
    Then it was probed once more, and each is reported for its own incarnation

  Scenario: A connection that broke long before a server crashed is not attributed to the crash
    Given a crash detector
    When a connection to a server breaks while it runs, and 3000 ms later another one as it crashes
    Then only the request of the second connection is reported as lost in the crash

  Scenario: Connections that break while their server runs are not kept for long
    Given a crash detector
    When 300 connections to a server break while it runs, one every 100 ms
    Then at most 51 of them are unresolved

  Scenario Outline: Two suspicions merge to the same in either order
    Given what two instances know of a request: "<first>" and "<second>"
    Then both merge to "<merged>"

    Examples:
      | first                   | second             | merged          |
      | s1@1                    | s2@2               | s1 s2           |
      | s1@1 s2@2               | s2@2 s3@3          | s1 s2 s3        |
      | s1@1 s2@2 barred@2      | s2@2 s3@3          | s1 s2 s3 barred |
      | s1@1 s2@2               | cleared@3          | nothing         |
      | s1@1 s2@2 barred@2      | cleared@3          | nothing         |
      | s1@1 s2@2               | cleared@1.5        | s2              |
      | s1@1 cleared@1.5 s2@2   | s1@1               | s2              |
      | s1@1 barred@2 cleared@3 | s1@1 barred@2      | nothing         |
      | s1@1 barred@2 cleared@3 | s1@1 barred@2 s4@4 | s4              |

  Scenario: An attempt is announced once, over links that are slower than the interval between attempts
    Given quarantine registries of five instances with link delays of 30 ms
    When a server crashes while it runs a request at the first, which sends the request again
    Then within 3000 ms each of the others knows of it, after at most 60 messages

  Scenario Outline: A crash and its clearing are announced once, over links slower than the interval between them
    # Guards against announcements that never end. Each hop adds to the age of both, so that a
    # cleared crash came to look newer than its clearing, and that newer than the crash, for as long
    # as links were slow.
    Given quarantine registries of five instances with link delays of 30 ms
    When a server crashes while it runs a request at the first, and the request is answered completely at the <other> <ms> ms later
    Then within 3000 ms all have cleared it, after at most 60 messages

    Examples:
      | other  | ms |
      | second | 5  |
      | second | 20 |
      | second | 40 |
      | first  | 10 |
