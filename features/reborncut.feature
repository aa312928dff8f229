@forwarding
Feature: Servers start again at another version while an instance has an old list of servers
  # An instance that reaches neither the store nor its peers, but callers and servers, does not hear
  # that a server has started again at its address at another software version.

  Background:
    Given instances a-1, a-2, b-1 and model servers of two versions that started at 5
      | server | datacentre | version |
      | llm-1  | a          | v1      |
      | llm-2  | b          | v2      |
      | llm-3  | b          | v1      |

  # Guards against events of two versions within one answer.
  Scenario Outline: A stream that breaks does not continue at a server that has started again
    Given a-1 is cut off from the store and its peers
    And server <name> starts again at version v2
    And server llm-1@5 runs the next stream, and llm-2@5 has the least to do after it
    And server llm-1@5 breaks off within the third event
    When resumable stream r is sent to a-1
    Then stream r has events 1 to 2, and ran on llm-1@5

    Examples:
      | name  |
      | llm-1 |
      | llm-3 |

  # Guards against a copy that a server of another version has made.
  Scenario Outline: A stream that may not be resumed does not continue at a server that has started again
    Given model servers keep copies
    And a-1 is cut off from the store and its peers
    And server <name> starts again at version v2
    And server llm-1@5 runs the next stream, and llm-3@5 has the least to do after it
    And server llm-1@5 breaks off within the third event
    When narration stream r is sent to a-1
    Then stream r has events 1 to 2, and ran on llm-1@5

    Examples:
      | name  |
      | llm-1 |
      | llm-3 |

  # Guards against a stream that is taken to have begun at the version of an old entry.
  Scenario Outline: A stream that began at a server that has started again is not continued
    Given a-1 is cut off from the store and its peers
    And server llm-1 starts again at version v2
    And server llm-1@5 runs the next stream, and llm-2@5 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And <contact>
    When the caller resumes stream r at <instance>
    Then it is refused as not run with code 2016 within 300 ms, and no Retry-After

    Examples:
      | contact                                  | instance |
      | a-1 is still cut off                     | a-1      |
      | a-1 is in touch again                    | a-1      |
      | a-1 is in touch again                    | b-1      |

  # Guards against a stream that an instance sends to a server of another version for its caller.
  Scenario: A caller resumes a stream of which all listed servers have started again
    Given server llm-1@5 runs the next stream, and llm-2@5 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And a-1 is cut off from the store and its peers
    And server llm-3 starts again at version v2
    When the caller resumes stream r at a-1
    Then it is refused as not run with code 2015 within 300 ms, and a Retry-After

  Scenario Outline: A caller resumes a stream of which one listed server has started again
    Given a server llm-4 in data centre b with version v1 that started at 5
    And server llm-1@5 runs the next stream, and llm-3@5 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And a-1 is cut off from the store and its peers
    And server <name> starts again at version v2
    And server <name>@5 has the least to do
    When the caller resumes stream r at a-1
    Then stream r has events 1 to 6, and ran on llm-1@5, <other>@5

    Examples:
      | name  | other |
      | llm-3 | llm-4 |
      | llm-4 | llm-3 |

  # Guards against streams that end though no server has started again.
  Scenario: No server has started again
    Given a-1 is cut off from the store and its peers
    And server llm-1@5 runs the next stream, and llm-2@5 has the least to do after it
    And server llm-1@5 breaks off within the third event
    When resumable stream r is sent to a-1
    Then stream r has events 1 to 6, and ran on llm-1@5, llm-3@5

  Scenario: No server has started again when a caller resumes a stream
    Given a-1 is cut off from the store and its peers
    And server llm-1@5 runs the next stream, and llm-2@5 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    When the caller resumes stream r at a-1
    Then stream r has events 1 to 6, and ran on llm-1@5, llm-3@5
