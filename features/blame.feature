Feature: Whom ends of servers are blamed on
  # Most of what a server has under way when it ends is innocent. What is barred must be to blame,
  # and what is to blame must not end a fourth server.

  Scenario Outline: What is enough to bar a request
    Given a book of suspects
    When servers end under a request: <ends>
    And servers end without it: <others>
    Then the request is <outcome>

    # Each end: how long the request had been there, and when, in milliseconds.
    Examples:
      | ends                                 | others  | outcome |
      | 60 at 0                              | none    | suspect |
      | 60 at 0, 60 at 1000                  | none    | barred  |
      | 60 at 0, 900 at 1000                 | none    | suspect |
      | 900 at 0, 900 at 2000, 900 at 4000   | none    | barred  |
      | 60 at 0, 60 at 1000                  | 500     | suspect |
      | 60 at 0, 60 at 1000                  | -50000  | suspect |
      | 60 at 0, 60 at 1000                  | -70000  | barred  |
      | 60 at 0, 60 at 1000, 60 at 2000      | 500     | barred  |
      | 60 at 0, 60 at 20, 60 at 40          | none    | suspect |
      | 900 at 0, 900 at 20, 900 at 2000     | none    | suspect |
      | 60 shared at 0, 60 shared at 1000    | none    | suspect |
      | 60 shared at 0, 60 at 1000           | none    | suspect |
      | 60 shared at 0, 60 shared at 1000, 60 shared at 2000 | none | barred |

  Scenario Outline: An answer around the end clears it
    Given a book of suspects
    And a request that was answered whole <when>
    When servers end under a request: 60 at 0
    Then the request is <outcome>

    Examples:
      | when                | outcome      |
      | 50000 ms before     | not suspect  |
      | 70000 ms before     | suspect      |

  Scenario: What one instance has answered is cleared where a server ends under it at another
    Given books of suspects of two instances that tell each other
    And a request that was answered whole at the first
    When a server ends under it at the second
    Then neither suspects it

  Scenario: A copy of a suspect waits until the one that is under way has outlived the ends
    Given a book of suspects
    When servers end under a request: 60 at 0
    And a copy of it is sent, and another one is to be
    Then the other one waits for 220 ms

  Scenario: A copy of a suspect goes as soon as the one that is under way is answered
    Given a book of suspects
    When servers end under a request: 60 at 0
    And a copy of it is sent, and another one is to be
    And the copy is answered whole after 90 ms
    Then the other one waits for 90 ms

  Scenario: A copy of a suspect is refused as soon as the one that is under way ends a server
    Given a book of suspects
    When servers end under a request: 60 at 0
    And a copy of it is sent, and another one is to be
    And a server ends under the copy after 90 ms
    Then the other one is refused after 90 ms

  Scenario: A copy of a suspect that has run for long is waited for a second at most
    Given a book of suspects
    When servers end under a request: 9000 at 0
    And a copy of it is sent, and another one is to be
    Then the other one waits for 1000 ms

  Scenario: Whoever loses a connection to a server that has just ended does not ask again
    Given servers whose ends are watched
    When two connections to a server that has ended break 100 ms apart
    Then it was asked once, and both are told of one start
    When two connections to a server that has ended break 5000 ms apart
    Then it was asked once more, and each is told of a start of its own

  Scenario: A connection that broke long before a server ended is not put down to that
    Given servers whose ends are watched
    When a connection to a server breaks while it lives, and 3000 ms later another one as it ends
    Then only the request of the second one is told to have been there

  Scenario: Connections that break while their server lives are not remembered for long
    Given servers whose ends are watched
    When 300 connections to a server break while it lives, one every 100 ms
    Then at most 51 of them are in doubt

  Scenario Outline: Two books merge to the same, whichever comes first
    Given what two instances know of a request: "<first>" and "<second>"
    Then both merge to "<merged>"

    Examples:
      | first                      | second                  | merged          |
      | s1@1                       | s2@2                    | s1 s2           |
      | s1@1 s2@2                  | s2@2 s3@3               | s1 s2 s3        |
      | s1@1 s2@2 barred@2         | s2@2 s3@3               | s1 s2 s3 barred |
      | s1@1 s2@2                  | cleared@3               | nothing         |
      | s1@1 s2@2 barred@2         | cleared@3               | nothing         |
      | s1@1 s2@2                  | cleared@1.5             | s2              |
      | s1@1 cleared@1.5 s2@2      | s1@1                    | s2              |
      | s1@1 barred@2 cleared@3    | s1@1 barred@2           | nothing         |
      | s1@1 barred@2 cleared@3    | s1@1 barred@2 s4@4      | s4              |

  Scenario: A sending is told once, over links that take longer than sendings are apart
    Given books of suspects of five instances whose links take 30 ms
    When a server ends under a request at the first, which sends it on
    Then within 3000 ms each of the others hears of it, in at most 60 messages

  Scenario Outline: An end and its clearing are told once, over links that take longer than both are apart
    # Each way adds to the age that both are told with, so that an end that was cleared came to look
    # newer than its clearing, and that newer than the end, for as long as links were slow.
    Given books of suspects of five instances whose links take 30 ms
    When a server ends under a request at the first, and it is answered whole at the <other> <ms> ms later
    Then within 3000 ms all have cleared it, in at most 60 messages

    Examples:
      | other  | ms |
      | second | 5  |
      | second | 20 |
      | second | 40 |
      | first  | 10 |
