@forwarding
Feature: Most new connections go to one instance
  # Guards against requests that fail for want of processor time at an instance that most callers
  # reach, while the others are idle: one of 79 instances with 0.15 of a core got nine of ten new
  # connections. Of 722 requests it served three in four, the others exceeded their deadlines.

  Scenario: An instance gets ten times as many requests as usual and has no time for them
    Given an instance that has got 10 requests a second for 20 s, with 12 in progress
    When it gets 150 a second with 200 in progress, and tasks wait 200 ms for their turn
    Then within 1000 ms it closes new connections unread
    And over 20 s it never has a limit below 4
    When it gets 10 a second with 12 in progress, and tasks wait 1 ms for their turn
    Then after 3000 ms it accepts all connections

  Scenario Outline: No connection is closed where that helps nobody
    Given an instance that has got <usual> requests a second for <seconds> s, with 12 in progress
    And <peers> of the other instances answer
    When it gets <per_s> a second with 200 in progress, and tasks wait <delay> ms for their turn
    Then for 10000 ms it accepts all connections

    Examples: The whole traffic grows; it has just started; nobody else is there; it has the time
      | usual | seconds | per_s | delay | peers |
      | 60    | 20      | 150   | 200   | most  |
      | 10    | 2       | 150   | 200   | most  |
      | 10    | 20      | 150   | 200   | few   |
      | 10    | 20      | 150   | 20    | most  |
      | 1     | 20      | 8     | 200   | most  |

  Scenario: One long pause of the process closes nothing
    Given an instance that has got 10 requests a second for 20 s, with 12 in progress
    When it gets 10 a second with 12 in progress, and a task waits 3500 ms for its turn once
    Then for 3000 ms it accepts all connections

  Scenario: The limit follows what the instance has time for
    Given an instance that has got 10 requests a second for 20 s, with 12 in progress
    When it gets 150 a second for 10 s, of which each takes 1000 ms and over 60 in progress make tasks wait
    Then it has between 40 and 90 requests in progress in the last 5 s

  # Guards against an instance that refuses after a second what all others admit: it learnt from
  # each request how late requests are, and had 60 times as many of them.
  Scenario Outline: What an instance expects of a route does not depend on how many callers it has
    Given an instance that expects a route to take its usual time
    When <per_s> requests a second of the route are late for <seconds> s
    Then it expects them to take at most <times> times as long

    Examples:
      | per_s | seconds | times |
      | 1     | 10      | 1.09  |
      | 5     | 5       | 1.21  |
      | 60    | 2       | 1.10  |
      | 60    | 5       | 1.22  |

  # Guards against a caller that is told that its request was read.
  Scenario: A connection that is closed has no answer, and others are served
    Given a web server for callers that answers requests
    When it closes new connections, and a caller sends a request
    Then the caller's connection ends without a byte, and no request was begun
    When it accepts connections, and a caller sends a request
    Then the caller is answered with status 200
