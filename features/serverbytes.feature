@forwarding
Feature: Model servers are not sent more bytes of requests than they hold
  # The failure: a server crashes if the requests that it holds exceed its memory, which it does not
  # report; the requests then went to the next server and crashed that as well.

  Scenario Outline: A crash under more bytes than any server held before sets a limit
    Given a server that held <safe> MB for <ms> ms
    When another server crashes while it holds <held> MB
    Then the limit is <limit>

    Examples:
      | safe | ms    | held | limit | because                                              |
      | 6    | 20000 | 20   | 15 MB | a quarter less                                       |
      | 18   | 20000 | 20   | 18 MB | this was held for 10 s without a crash               |
      | 18   | 5000  | 20   | 15 MB | this was not held long enough                        |
      | 20   | 20000 | 20   | none  | another server held as much                          |
      | 0    | 20000 | 4    | none  | one request may be as large                          |
      | 0    | 20000 | 5    | 4.194304 MB | one request may be as large                    |

  Scenario: What ended with the crash counts, and a crash counts once
    # The failure: by the time of the report the broken requests had been taken off the account.
    Given a server that held 6 MB for 20000 ms
    When another server holds 20 MB and its requests end 500 ms before its crash is reported
    Then the limit is 15 MB
    When its crash is reported again
    Then the limit is 15 MB

  Scenario: What a crashed server held is not safe when it is released much later
    Given a server that held 6 MB for 20000 ms
    When another server crashes while it holds 20 MB
    And its requests are released 20000 ms later
    Then the most that is safe is 6 MB

  Scenario: Requests of a crashed server that end after its crash do not show that it was safe
    # The failure: the first of them recorded again what the server held when it crashed, which
    # counted as safe 10 s later, so that no further crash set a lower limit.
    Given a server that held 6 MB for 20000 ms
    When another server crashes while it holds 20 MB
    And its requests are released 100 ms later
    And it holds 1 MB 20000 ms later
    Then the most that is safe is 6 MB

  Scenario: What ended long before a crash does not count
    Given a server that held 6 MB for 20000 ms
    When another server holds 20 MB and its requests end 3000 ms before its crash is reported
    Then the limit is none

  Scenario Outline: Servers that would hold more than the limit are not chosen
    Given a limit of 15 MB and a server that holds <held> MB
    Then it is <outcome> a request of <size> MB

    Examples:
      | held | size | outcome  |
      | 12   | 3    | sent     |
      | 12   | 4    | not sent |
      | 0    | 20   | sent     |

  Scenario: Nothing is limited while the setting is off
    Given a limit of 15 MB and a server that holds 12 MB
    And the limit on memory is switched off
    Then it is sent a request of 4 MB

  Scenario Outline: A request does not wait for room at a server that it must not be sent to
    # The failure: a request that had failed at a server waited for room there, up to the time that it
    # may wait, instead of being refused at once.
    Given a placement coordinator of one model server
    And this server holds 12 MB and is known to hold 15 MB
    When a prompt of 4 MB is placed that <may> be sent there
    Then the reply <says> that servers are full

    Examples:
      | may     | says         |
      | may     | says         |
      | may not | does not say |

  Scenario: A request waits until a server has room, as it would for a slot
    Given a forwarding fleet of instances a-1, a-2
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And 1000 ms have gone by
    And the servers of llm are known to hold 5 MB
    When 4 streams with a body of 3 MB are sent at once
    Then all are answered
    And no server held two of them at a time

  Scenario: A request that cannot wait for room is refused
    Given a forwarding fleet of instances a-1, a-2
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And 1000 ms have gone by
    And the servers of llm are known to hold 5 MB
    When 12 streams with a body of 3 MB are sent at once
    Then those that are not answered are refused with code 2012 and were sent to no server
    And no server held two of them at a time

  Scenario: A crash is learnt from by the coordinator
    Given a forwarding fleet of instances a-1, a-2
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm
    And 1000 ms have gone by
    When a stream with a body of 6 MB crashes its server
    Then a limit is learnt with a log line that gives 6 MB and the limit of 4.5 MB
