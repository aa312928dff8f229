@forwarding
Feature: Backend servers that ask for rest
  # A server refused a request of an instance and asked it for three seconds without requests, and
  # got three more from it in that time: only the third failure took it out of use, for a second.
  Background:
    Given a fleet of 8 instances in data centres a, b, c
    And 2 servers of each of the services desk, llm, enc in data centres a, b, c

  Scenario Outline: A server that refuses each second request and asks for rest is left alone
    When server <server> refuses each second request for a rest of 3000 ms, and <rate> <kind> requests a second come for 9000 ms
    Then no server gets requests from an instance within a rest it asked that one for
    And over 97 of 100 requests were answered

    Examples:
      | server | kind   | rate |
      | llm-1  | stream | 60   |
      | desk-1 | safe   | 60   |
      | desk-1 | unsafe | 60   |
      | enc-1  | staged | 30   |

  Scenario Outline: Whatever happens to instances
    When server <server> refuses each second request for a rest of 3000 ms, and 60 <kind> requests a second come for 9000 ms while <what>
    Then no server gets requests from an instance within a rest it asked that one for
    And over 90 of 100 requests were answered

    Examples:
      | server | kind   | what                                           |
      | llm-1  | stream | the instance where its work meets is restarted |
      | enc-1  | staged | the instance where its work meets dies         |
      | desk-1 | safe   | three instances are cut off from the others    |
      | llm-1  | stream | a data centre is cut off from the others       |
      | desk-1 | safe   | instances are restarted one after the other    |

  Scenario Outline: All servers of a service ask for rest
    # Who comes then is refused at once, and told when the rest ends, a little apart.
    When all <service> servers refuse all requests for a rest of 3000 ms, and 20 <kind> requests a second come for 2900 ms
    And they refuse none any more
    Then no server gets requests from an instance within a rest it asked that one for
    And whoever was refused by an instance that all had asked for rest was refused within 5 ms
    And each was told to come back after the rest, and not over 1500 ms later
    And no two of an instance were told to come back at the same time
    And whoever was refused after all had asked was told to come back after the rest

    Examples:
      | service | kind   |
      | desk    | safe   |
      | desk    | unsafe |
      | llm     | stream |
      | llm     | staged |

  Scenario: Who comes back when it was told to is served
    When all desk servers refuse all requests for a rest of 2000 ms, and 20 safe requests a second come for 1900 ms
    And they refuse none any more
    And whoever was refused for that comes back when it was told
    Then over 97 of 100 of those who came back were served

  Scenario: Requests whose model servers all want rest are refused before their stages run
    Given all llm servers have asked each instance for a rest of 20000 ms
    When 10 staged requests come one after the other, 100 ms later
    Then each was refused with 2013 as not run, and no piece was made

  Scenario: Requests whose stage servers all want rest are refused at once
    Given all enc servers have asked each instance for a rest of 4000 ms
    When 10 staged requests come one after the other, 100 ms later
    Then each was refused with 2001 as not run, and no piece was made

  Scenario: Pieces of a service whose servers all want rest are expected to wait for it
    Given all enc servers have asked each instance for a rest of 200 ms
    Then where its pieces meet new ones are expected to wait 150 to 200 ms

  Scenario Outline: A request waits for a rest that is soon over
    Given all <service> servers have asked each instance for a rest of 200 ms
    When 1 <kind> requests come one after the other, 100 ms later
    Then it is answered on time

    Examples:
      | service | kind   |
      | desk    | safe   |
      | llm     | stream |
      | enc     | staged |

  Scenario Outline: A rest concerns the instance that was asked for it only
    # Also where prompts of all meet at the one that was told.
    Given server <server> has asked the instance where its work meets for a rest of 5000 ms
    When 60 <kind> requests a second come for 2000 ms
    Then server <server> gets requests, but none from that one

    Examples:
      | server | kind   |
      | llm-1  | stream |
      | desk-1 | safe   |

  Scenario Outline: What does not end a rest
    Given server desk-1 has asked each instance for a rest of 3000 ms
    When <what>
    And 60 safe requests a second come for 1500 ms
    Then server desk-1 gets nothing

    Examples:
      | what                                       |
      | it asks for one of 100 ms                  |
      | a call to it that was under way ends well  |
      | 1400 ms go by                              |
      | it has been listed anew                    |

  Scenario: A rest ends
    Given server desk-1 has asked each instance for a rest of 500 ms
    When 600 ms go by
    And 60 safe requests a second come for 1500 ms
    Then server desk-1 gets some

  Scenario: A server that starts again did not ask for rest
    Given server desk-1 has asked each instance for a rest of 30000 ms
    When server desk-1 starts again, and 60 safe requests a second come for 1500 ms
    Then server desk-1 gets over 10 requests

  Scenario: A server that asks for rest while a request waits for its turn there
    Given all desk servers have named 1 request a second
    When a request waits for its turn, and its server asks for rest
    Then it reaches another server only

  Scenario: Results at a server that wants rest are given up later
    Given server enc-1 has asked each instance for a rest of 1000 ms
    When results at enc-0 and enc-1 are given up
    Then only enc-0 is asked to drop any
    When results at enc-0 and enc-0 are given up
    Then enc-1 is asked to drop its result

  Scenario: A server asks for rest when it is to drop results
    Given server enc-1 refuses each request for a rest of 3000 ms
    When results at enc-0 and enc-1 are given up
    And 30 staged requests a second come for 1500 ms
    Then server enc-1 gets nothing
