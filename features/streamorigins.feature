@forwarding
Feature: Instances know which software version began a stream
  # A caller may resume a stream at an instance that did not begin it, while the one that did has
  # ended, was restarted or cannot be reached.

  Background:
    Given instances a-1, a-2, b-1 and model servers of two versions
      | server | datacentre | version |
      | llm-1  | a          | v1      |
      | llm-2  | b          | v2      |
      | llm-3  | b          | v1      |

  # Guards against streams that began while one version served, of which nobody was told.
  Scenario: The second version is listed while a stream runs
    Given only version v1 is listed
    And server llm-1 runs the next stream, and llm-3 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when version v2 is listed
    And a-1 is killed
    When the caller resumes stream r at b-1
    Then stream r has events 1 to 6, and ran on llm-1, llm-3

  # Guards against streams that continue at a new version where all servers of the old one are gone, and
  # against refusals that come late or are not true.
  Scenario Outline: A stream whose version is gone is refused at once
    Given stage servers enc-1, enc-2 of service enc
    And server llm-1 runs the next stream, and llm-2 has the least to do after it
    And a caller of <kind> stream r at a-1 has 2 events when its connection breaks
    And no server of version v1 is listed
    When the caller resumes stream r at b-1
    Then it is refused as not run with code 2015 within 5 ms, and a Retry-After
    And no stage of its second attempt ran

    Examples:
      | kind      |
      | resumable |
      | lasting   |

  Scenario Outline: A stream that nobody knows
    Given server llm-1 runs the next stream, and llm-2 has the least to do after it
    And <versions>
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    When <attempt>
    Then <outcome>

    Examples: While two versions serve nothing tells which of them may continue
      | versions                         | attempt                                               | outcome                                                            |
      | both versions are listed         | a caller resumes stream x at b-1                     | it is refused as not run with code 2016 within 300 ms, and no Retry-After |
      | both versions are listed         | a caller resumes a stream at b-1 without naming it   | it is refused as not run with code 2016 within 300 ms, and no Retry-After |
      | both versions are listed         | a caller of another path resumes stream r at b-1     | it is refused as not run with code 2016 within 300 ms, and no Retry-After |
      | both versions are listed         | a caller of another team resumes stream r at b-1     | it is refused as not run with code 2016 within 300 ms, and no Retry-After |
      | no server of version v2 is listed | a caller resumes stream x at b-1                    | it is refused as not run with code 2016 within 300 ms, and no Retry-After |

    Examples: While only one has served for long, that one continues
      | versions                         | attempt                                               | outcome                                                            |
      | only version v1 has been listed for long | a caller resumes stream x at b-1             | it is answered with events 3 to 6                                  |
      | only version v1 has been listed for long | a caller resumes a stream at b-1 without naming it | it is answered with events 3 to 6                            |

  # Guards against an instance that has just started and does not know which version served before.
  Scenario: A stream that nobody knows is resumed at an instance that started after its version left
    Given server llm-1 runs the next stream, and llm-2 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And no server of version v1 is listed
    And b-1 is killed and starts again
    When a caller resumes stream x at b-1
    Then it is refused as not run with code 2016 within 300 ms, and no Retry-After

  # Guards against streams that continue at another service of their route.
  Scenario: A route leads to two services
    Given server llm-1 runs the next stream, and llm-2 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And the route leads mostly to service alt with server alt-1 from now on
    When the caller resumes stream r at b-1
    Then stream r has events 1 to 6, and ran on llm-1, llm-3

  # Guards against an instance with an old list, which knows of one version only.
  Scenario Outline: An instance that is cut off from all others
    Given only version v1 is listed
    And server llm-1 runs the next stream, and llm-3 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And <instance> is cut off from the store and its peers
    And version v2 is listed
    When the caller resumes stream r at <instance>
    Then stream r has events 1 to 6, and ran on llm-1, llm-3

    Examples: It ran the stream, or was told of it before
      | instance |
      | a-1      |
      | b-1      |

  Scenario: An instance that was cut off from all others before a stream began
    Given only version v1 is listed
    And b-1 is cut off from the store and its peers
    And server llm-1 runs the next stream, and llm-3 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And version v2 is listed
    When the caller resumes stream r at b-1
    Then it is refused as not run with code 2016 within 300 ms, and a Retry-After

  # Guards against streams that are lost with the instances of a data centre, in a fleet in which not
  # every instance has links to all others.
  Scenario Outline: The instances of a large fleet
    Given 21 more instances in data centres a, b, c
    And server llm-1 runs the next stream, and llm-2 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And <loss>
    When the caller resumes stream r at <instance>
    Then stream r has events 1 to 6, and ran on llm-1, llm-3
    And at most 4 instances other than a-1 knew of it

    Examples:
      | loss                                    | instance |
      | a-1 is killed                           | a-5      |
      | a-1 is killed                           | c-3      |
      | the instances of data centre a are killed | b-4    |
      | the instances of data centre a are killed | c-4    |
      | the first holder in data centre a and a-1 are killed | c-3 |

  Scenario: An instance that reaches no server relays a stream that is resumed
    Given server llm-1 runs the next stream, and llm-2 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And a-2 reaches no backend server
    When the caller resumes stream r at a-2
    Then stream r has events 1 to 6, and ran on llm-1, llm-3

  # Guards against a stream that is taken to be of a server whose events its caller never got.
  Scenario Outline: An instance relays a stream again, since the first answer is lost
    Given a-2 reaches no backend server
    And the first answer that a-2 relays is lost, and server <second> runs the stream then
    And server llm-1 runs the next stream, and <second> has the least to do after it
    And a caller of resumable stream r at a-2 has 2 events when its connection breaks
    When the caller resumes stream r at <name>
    Then stream r has events 1 to <last>, and ran on llm-1, <servers>

    Examples:
      | second | name | last | servers      |
      | llm-2  | a-1  | 2    | llm-2        |
      | llm-2  | b-1  | 2    | llm-2        |
      | llm-1  | b-1  | 6    | llm-1, llm-3 |

  # Guards against a second version of an entry that is written again without a restart.
  Scenario: The entry of the server that runs a stream gets another version
    Given server llm-1 runs the next stream, and llm-2 has the least to do after it
    And server llm-1 is found to run version v2 after 20 ms
    And server llm-1 breaks off within the third event
    When resumable stream r is sent to a-1
    Then stream r has events 1 to 6, and ran on llm-1, llm-2

  Scenario: Instances of an older build are neither told nor asked
    Given all instances but b-1 are of an older build
    And server llm-1 runs the next stream, and llm-2 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    When the caller resumes stream r at b-1
    Then it is refused as not run with code 2016 within 300 ms, and a Retry-After
    And the log says that 0 instances were asked

  # Guards against streams that are refused for long after an upgrade, since entries that came through
  # an older build lack the version.
  Scenario Outline: A newer entry comes from an instance of an older build
    Given a-1 knows an entry with start <first> and version v1
    When it gets a newer one with start <second> from an instance of an older build
    Then it takes the server to run version <version>

    Examples:
      | first | second | version |
      | 5     | 5      | v1      |
      | 5     | 6      | unknown |
      | 0     | 0      | unknown |

  Scenario Outline: An entry comes from an instance of an older build
    Given a-1 gets the entry of llm-3 <entry> from an instance of an older build
    And server llm-1 runs the next stream, and llm-2 has the least to do after it
    And server llm-1 breaks off within the third event, once
    When resumable stream r is sent to a-1
    Then stream r has events 1 to 6, and ran on <servers>

    Examples:
      | entry                                  | servers      |
      | at a new address                       | llm-1, llm-1 |
      | at a new address, and b-1 starts again | llm-1, llm-3 |

  # Guards against streams that are unknown once the time of their first attempt is over.
  Scenario Outline: A later attempt at a stream lasts longer than the first one
    Given server llm-1 runs the next stream, and llm-2 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And after 5 s it has 2 more at a-1 when its connection breaks again
    And 3 s pass<loss>
    When the caller resumes stream r at b-1
    Then stream r has events 1 to 6

    Examples:
      | loss                |
      |                     |
      | , and a-1 is killed |

  # Guards against streams that are unknown though their caller has asked for them all the time.
  Scenario Outline: A stream is resumed in vain until the time of its first attempt is over
    Given server llm-1 runs the next stream, and llm-2 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And no server of version v1 is listed
    And an attempt to resume stream r at b-1 is refused with code 2015
    And version v1 is listed
    And 4 s pass<loss>
    When the caller resumes stream r at <instance>
    Then stream r has events 1 to 6

    Examples:
      | loss                | instance |
      |                     | b-1      |
      |                     | a-2      |
      | , and a-1 is killed | a-2      |
      | , and b-1 is killed | a-2      |

  # Guards against streams that are unknown where an attempt has lasted until its deadline.
  Scenario Outline: A stream is resumed after the time of its only attempt
    Given server llm-1 runs the next stream, and llm-2 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And 9 s pass<loss>
    When the caller resumes stream r at b-1
    Then stream r has events 1 to 6, and ran on llm-1, llm-3

    Examples:
      | loss                |
      |                     |
      | , and a-1 is killed |

  Scenario: Malformed origins are ignored, and many are bounded
    When an instance is told malformed origins, and more than it keeps
    Then it keeps the newest ones that are well-formed
