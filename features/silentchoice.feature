Feature: Choice of servers that were silent for a moment
  # A sound server may be silent for a second or so, with or without taking connections meanwhile,
  # and go on where it was.

  # Guards against a server that is avoided for seconds after a silence (up to 30 s were seen), and
  # against a service that has no server to use since all were silent.
  @forwarding
  Scenario Outline: A server that goes on after a silence is used again at once
    Given two instances and three servers of each service
    When <which> server of <service> is silent amid <per_s> <kind> requests a second, taking <how>
    Then each of them is used as before within <ms> ms after it goes on
    And at most <n> requests are not answered

    Examples: Servers that accept connections
      | which | service | per_s | kind      | how         | ms   | n  |
      | one   | desk    | 60    | safe      | connections | 1000 | 0  |
      | every | desk    | 60    | safe      | connections | 1000 | 0  |
      | each  | desk    | 60    | safe      | connections | 1000 | 0  |
      | one   | desk    | 60    | unsafe    | connections | 1000 | 0  |
      | every | desk    | 60    | unsafe    | connections | 1000 | 0  |
      | one   | llm     | 60    | resumable | connections | 1000 | 0  |
      | every | llm     | 60    | resumable | connections | 1000 | 0  |
      | each  | llm     | 60    | resumable | connections | 1000 | 0  |
      | one   | llm     | 60    | stream    | connections | 1000 | 0  |
      | every | llm     | 60    | stream    | connections | 1000 | 0  |
      | one   | enc     | 10    | staged    | connections | 1000 | 0  |
      | every | enc     | 10    | staged    | connections | 1000 | 3  |
      | each  | enc     | 10    | staged    | connections | 1000 | 0  |

    Examples: Servers that cannot be reached while they are silent
      | which | service | per_s | kind      | how     | ms   | n  |
      | one   | desk    | 60    | safe      | nothing | 1000 | 0  |
      | every | desk    | 60    | safe      | nothing | 1000 | 72 |
      | each  | desk    | 60    | safe      | nothing | 1000 | 0  |
      | one   | llm     | 60    | resumable | nothing | 1000 | 0  |
      | every | llm     | 60    | resumable | nothing | 1000 | 73 |
      | one   | enc     | 10    | staged    | nothing | 1000 | 0  |
      | every | enc     | 10    | staged    | nothing | 1000 | 12 |

  # Guards against servers that are all slow and pass for silent: too many requests are let in.
  @forwarding
  Scenario: Servers that become slow together are found to be slow
    Given two instances and three servers of each service
    When every server of enc becomes slow amid 10 staged requests a second
    Then each of the 3 servers is found to be slow within 1500 ms

  # A server that stays silent is probed only, less and less often.
  @forwarding
  Scenario Outline: A server that stays silent is hardly sent requests
    Given two instances and three servers of each service
    When one server of <service> stays silent amid <per_s> <kind> requests a second
    Then it is sent at most <most> requests from 4000 ms of its silence on
    And at most 0 requests are not answered

    Examples:
      | service | per_s | kind      | most |
      | desk    | 60    | safe      | 6    |
      | llm     | 60    | resumable | 6    |
      | enc     | 10    | staged    | 8    |

  # Guards against checks that cost servers and callers more than they bring: many of a server that
  # stays away, several at a time, or for a service without requests.
  @forwarding
  Scenario Outline: A server that cannot be reached is checked a few times only
    Given two instances and three servers of each service
    When one server of <service> cannot be reached for <s> s amid <per_s> <kind> requests a second
    Then each instance checks it at most <most> times, one check at a time
    And at most 0 requests are not answered

    Examples:
      | service | per_s | kind      | s  | most |
      | desk    | 60    | safe      | 2  | 3    |
      | desk    | 60    | safe      | 20 | 7    |
      | llm     | 60    | resumable | 20 | 7    |
      | enc     | 10    | staged    | 20 | 7    |

  @forwarding
  Scenario: A server that cannot be reached is not checked while nobody asks for it
    Given two instances and three servers of each service
    When one server of desk cannot be reached for 1 s amid 60 safe requests a second
    And there are no requests for 10 s
    Then no instance checks it in that time

  # Guards against a server that is sent all its share at once when it accepts connections again,
  # and may have crashed meanwhile.
  @forwarding
  Scenario: A server that accepts connections again is sent one request by each instance at first
    Given two instances and three servers of each service
    When one server of desk cannot be reached for 1 s amid 600 safe requests a second
    And it accepts connections again amid 600 safe requests a second
    Then it is sent at most 2 requests until it has answered one

  # Guards against a service without a server to use since all were silent at the same time, and
  # against callers that are held for servers that are lost.
  @forwarding
  Scenario Outline: Servers that fall silent together are used, and lost ones are not
    Given two instances and three servers of each service
    And every instance found all servers <state>
    When instance a-1 gets a <kind> request after their silence
    Then that request is <outcome>

    Examples:
      | kind      | state                | outcome         |
      | safe      | silent for 1000 ms   | answered        |
      | unsafe    | silent for 1000 ms   | answered        |
      | resumable | silent for 1000 ms   | answered        |
      | staged    | silent for 1000 ms   | answered        |
      | safe      | silent for 4000 ms   | refused at once |
      | resumable | silent for 4000 ms   | refused at once |
      | staged    | silent for 4000 ms   | refused at once |
      | safe      | out of reach         | refused at once |
      | resumable | out of reach         | refused at once |
      | staged    | out of reach         | refused at once |
