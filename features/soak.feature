Feature: The fault soak
  Scenario: A short seed with real processes keeps every promise
    When seed 7 of the soak is played for 8 seconds with 4 instances
    Then every promise is kept
    And at least 100 requests were served

  Scenario: The same seed brings about the same faults
    Then seed 11 draws the same faults twice, and other ones than seed 12
    And 50 seeds draw every kind of fault
    And no fault of a draw for 60 instances begins in the last three tenths of the traffic

  Scenario: A record in which every promise is kept passes
    Given a record of a soak in which all went well
    Then every promise is kept

  Scenario Outline: Each check finds a fault that was put in on purpose
    Given a record of a soak in which all went well
    When <fault>
    Then only <check> is broken

    Examples:
      | fault                                                     | check              |
      | an unsafe request ran on two servers                      | at_most_once       |
      | a stream that may not be resumed ran on two servers       | at_most_once       |
      | an unsafe request that ran was refused                    | true_refusals      |
      | a refusal does not say when to come back                  | says_when          |
      | an answer bears another request's body                    | whole_answers      |
      | a server was sent a request that nobody sent              | asked_for          |
      | a server was sent a request for no team                   | asked_for          |
      | a server was given results of another request             | asked_for          |
      | a known key was refused                                   | never_denied       |
      | a process went back to an older configuration             | never_back         |
      | an instance has an old configuration long after a change  | in_force           |
      | a draining server got a request much later                | drained_left_alone |
      | a server of a drained data centre got a request           | emptied_left_alone |
      | a cold server got many requests in a second               | cold_spared        |
      | a server that named a limit got more                      | limits_kept        |
      | a server that told that it leaves got a request later     | leaving_left_alone |
      | a stage server that told that it leaves got a call later  | leaving_left_alone |
      | a server got three requests within a rest                 | rests_kept         |
      | a restart cut a request under way                         | planned_restarts   |
      | a service got more repeats than the budget allows         | retry_budget       |
      | requests reached servers long after their callers left    | gone_is_gone       |
      | a request that ended servers is sent on and on            | deadly_kept_away   |
      | nothing is served at the end                              | recovers           |
      | a process ended by itself                                 | no_ends            |

  Scenario Outline: What a fault explains is not held against the product
    Given a record of a soak in which all went well
    And a fault "<kind>" of <target> from second 1 to second 9
    When <fault>
    Then every promise is kept

    Examples:
      | kind        | target | fault                                                    |
      | store-reset | a-1    | an instance has an old configuration long after a change |
      | down        | store  | an instance has an old configuration long after a change |
      | pause       | a-1    | a draining server got a request much later               |
      | kill        | a-1    | a restart cut a request under way                        |
      | pause       | a-1    | a server that told that it leaves got a request later    |
      | pause       | a-1    | a server got three requests within a rest                |

  Scenario: A request that comes while a process starts is answered once it knows enough
    Given a store whose answers are slow, and an instance as a process
    When a request for a route that there is comes as soon as its socket listens
    Then it is answered with 200

  Scenario: A request that comes while a process starts without a store is refused with a time
    Given a store that is down, and an instance as a process
    When a request for a route that there is comes as soon as its socket listens
    Then it is answered with 503 and says when to come back

  Scenario: A reload that is asked for while a process starts does not end it
    Given a store whose answers are slow, and an instance as a process
    When it is asked to reload as soon as its socket listens
    And a request for a route that there is comes as soon as its socket listens
    Then it is answered with 200

  Scenario: A soak that is asked to end leaves no process behind
    Given a soak that has started its instances
    When it is asked to end
    Then none of its instances runs any more
