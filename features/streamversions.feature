@forwarding
Feature: Streams continue at the software version that began them
  # What two versions of a service's software write does not fit together, and servers do not check
  # it. Versions have no order.

  Background:
    Given instances a-1, a-2, b-1 and model servers of two versions
      | server | datacentre | version |
      | llm-1  | a          | v1      |
      | llm-2  | b          | v2      |
      | llm-3  | b          | v1      |

  # Guards against streams of two versions within one answer.
  Scenario Outline: A stream that breaks continues at a server of the version that began it
    Given server llm-1 runs the next stream, and llm-2 has the least to do after it
    And server llm-1 <fault>
    When resumable stream r is sent to a-1
    Then stream r has events 1 to 6, and ran on llm-1, llm-3

    Examples:
      | fault                             |
      | breaks off within the third event |
      | crashes after 65 ms               |

  # Guards against a refusal where a server of the version is left, though it has broken the stream.
  Scenario: A stream continues at the server that broke it where no other runs its version
    Given servers llm-3 have drained
    And server llm-1 runs the next stream, and llm-2 has the least to do after it
    And server llm-1 breaks off within the third event, once
    When resumable stream r is sent to a-1
    Then stream r has events 1 to 6, and ran on llm-1, llm-1

  Scenario: A full server is not sent a stream again though no other runs its version
    Given servers llm-3 have drained
    And server llm-1 runs the next stream, and llm-2 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And server llm-1 has started again, and is full
    When the caller resumes stream r at b-1
    Then it is refused as not run with code 2008 within 100 ms, and a Retry-After
    And 1 server was sent it

  Scenario: A stream breaks at once where no server of its version is left
    Given servers llm-3 have drained
    And server llm-1 runs the next stream, and llm-2 has the least to do after it
    And server llm-1 crashes after 65 ms
    When resumable stream r is sent to a-1
    Then stream r has events 1 to 2, and ran on llm-1
    And stream r ended within 500 ms

  Scenario Outline: A stream breaks at once where the last server of its version leaves
    Given servers llm-3 have drained
    And stage servers enc-1, enc-2 of service enc
    And server llm-1 runs the next stream, and llm-2 has the least to do after it
    And server llm-1 drains before it breaks a stream off
    When <kind> stream r is sent to a-1
    Then stream r has events 1 to 2, and ran on llm-1
    And stream r ended within <ms> ms
    And its stages ran <times>

    Examples:
      | kind      | ms   | times |
      | resumable | 200  | never |
      | lasting   | 1000 | once  |

  # Guards against events of a server that started again at another version before its new entry was
  # known.
  Scenario: A server that is found to have started again at another version does not continue
    Given server llm-2 has started again at version v1
    And server llm-1 runs the next stream, and llm-2 has the least to do after it
    And server llm-1 crashes after 65 ms
    And server llm-2 is found to run version v2 after 80 ms
    When resumable stream r is sent to a-1
    Then stream r has events 1 to 6, and ran on llm-1, llm-2, llm-3

  # Guards against streams of two versions over a caller's tries: an instance that resumes a stream
  # may not have begun it.
  Scenario Outline: A caller resumes a stream at a server of the version that began it
    Given server llm-1 runs the next stream, and llm-2 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when <loss>
    When the caller resumes stream r at <instance>
    Then stream r has events 1 to 6, and ran on llm-1, llm-3

    Examples:
      | loss                                  | instance |
      | its connection breaks                 | a-1      |
      | its connection breaks                 | b-1      |
      | a-1 is killed                         | a-2      |
      | a-1 is killed                         | b-1      |
      | a-1 is killed and starts again        | a-1      |
      | a-1 is cut off from its peers         | b-1      |

  # Guards against streams that continue from a copy at a server of another version.
  Scenario: A stream that may not be resumed has its copy at a server of its version
    Given model servers keep copies
    And server llm-3 runs the next stream, and llm-1 has the least to do after it
    And server llm-3 breaks off within the third event
    When narration stream r is sent to b-1
    Then stream r has events 1 to 6, and ran on llm-3, llm-1

  Scenario: A stream that may not be resumed does not continue at another version
    Given model servers keep copies
    And server llm-3 runs the next stream, and llm-1 has the least to do after it
    And server llm-1 is found to run version v2 after 20 ms
    And server llm-3 breaks off within the third event
    When narration stream r is sent to b-1
    Then stream r has events 1 to 2, and ran on llm-3

  Scenario: No copy is sent to a server of another version that a coordinator of an older build names
    Given model servers keep copies
    And server llm-3 runs the next stream, and llm-1 has the least to do after it
    And a coordinator of an older build has llm-2 keep the copy
    And server llm-3 breaks off within the third event
    When narration stream r is sent to b-1
    Then stream r has events 1 to 2, and ran on llm-3
    And no server was sent a copy of it
