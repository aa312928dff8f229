Feature: Large requests are served as often as others of their route
  # The failure: in an overload a third of the largest tenth of the requests of a route was served,
  # against two thirds of all of them, although no guarantee was violated. For tens of seconds more
  # was asked of the stages than their servers completed. Nearly all refusals were made at
  # admission, which compared the sum of waiting and processing time with the latency target. The
  # wait settles where a usual request is just in time, so a request with a longer prompt never was:
  # its size alone decided that it was refused. The "request-refused" lines showed this: for the
  # largest tenth they had the same waiting_ms as for the others and a larger reading_ms, and
  # neither the queue nor a model server refused a request for its size.

  Background:
    Given a route with a latency target of 1700 ms and a deadline of 10000 ms
    And prompts of 17000 tokens on average, the largest tenth of them over 30000

  @forwarding
  Scenario Outline: In a lasting overload requests of all sizes are served alike
    Given 4 stage servers that complete 9 of its requests a second
    When <asked> requests a second arrive for 30 seconds, drawn with seed <seed>, and are retried once when refused
    Then of the largest tenth at least 0.75 times as many are served as of all
    And of the fifth below it at least 0.75 times as many are served as of all
    And at least <served> of all are served

    Examples:
      | asked | seed | served |
      | 12    | 1    | 0.7    |
      | 12    | 2    | 0.7    |
      | 15    | 3    | 0.55   |

  @forwarding
  Scenario Outline: In a lasting overload most of what the servers complete is on time
    # The failure: requests that could not be on time were retried and queued behind the others, but
    # their announced pieces counted as ahead of all pieces. First attempts were refused because of
    # them and retried in turn, and nearly all that was served was late.
    Given 4 stage servers that complete 9 of its requests a second
    When <asked> requests a second arrive for 30 seconds, drawn with seed <seed>, and are retried once when refused
    Then at least <part> of all are served on time

    Examples:
      | asked | seed | part |
      | 12    | 1    | 0.5  |
      | 12    | 2    | 0.5  |
      | 15    | 3    | 0.4  |

  Scenario Outline: Pieces that give way do not count as ahead of pieces that can be on time
    Given a stage service that completes 0.04 pieces a millisecond
    When 8 pieces of rank 1 <are>, and 20 pieces of rank 0 that give way <are>
    Then those of rank 1 are expected to wait 200 ms
    And those that give way are expected to wait 700 ms

    Examples:
      | are             |
      | wait            |
      | were announced  |

  Scenario: Arrivals that give way do not raise the expected wait of pieces that can be on time
    Given a stage service that completes 0.04 pieces a millisecond
    When 45 pieces of rank 0 that give way have arrived within 1500 ms
    And 8 pieces of rank 1 wait
    Then those of rank 1 are expected to wait 200 ms

  @forwarding
  Scenario: A request whose processing alone exceeds the latency target is not treated as late
    Given 4 stage servers that complete 9 of its requests a second
    When a request of 200000 tokens is sent to an instance
    Then its stages are not late when they are submitted

  @forwarding
  Scenario Outline: Requests that give way do not change the learnt factor of their route
    Given 4 stage servers that complete 9 of its requests a second
    When a request of 17000 tokens that <is> is sent to an instance
    Then the factor of its route has <changed>

    Examples:
      | is               | changed     |
      | is to be on time | changed     |
      | gives way        | not changed |

  Scenario Outline: A request that can be answered before its deadline is not refused for its size
    Given its route has learnt a factor of <factor>
    When a request of <tokens> tokens arrives while its stages wait <wait> ms
    Then it is <outcome>

    Examples:
      | factor | tokens | wait | outcome                      |
      | 1.25   | 17000  | 0    | admitted                     |
      | 1.25   | 70000  | 0    | admitted                     |
      | 2.0    | 53000  | 0    | admitted                     |
      | 1.25   | 53000  | 300  | admitted                     |
      | 1.25   | 8000   | 300  | admitted                     |
      | 1.25   | 8000   | 1200 | admitted behind the others   |
      | 1.25   | 53000  | 1200 | admitted behind the others   |
      | 1.25   | 17000  | 6000 | refused with a time to retry |
      | 1.25   | 53000  | 6000 | refused with a time to retry |
      | 1.25   | 900000 | 0    | refused with a time to retry |
