@forwarding
Feature: Callers resume streams while a data centre is cut off
  # The instances of a data centre that is cut off from the store and from all others answer each
  # other. What they agree on may be old.

  Background:
    Given instances a-1, a-2, b-1, b-2 and model servers of two versions
      | server | datacentre | version |
      | llm-1  | a          | v1      |
      | llm-2  | a          | v2      |
      | llm-3  | b          | v1      |
      | llm-5  | a          | v2      |

  # Guards against streams that continue at the only version that a data centre without news knows.
  Scenario Outline: A second version is listed meanwhile
    Given only version v1 is listed
    And then <cut>, v2 is listed
    And server llm-2 runs the next stream, and llm-3 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And then <events>
    When the caller resumes stream r at b-1
    Then it is refused as not run with code <code> within <ms> ms, and <word> Retry-After

    Examples:
      | cut                                | events                                       | code | ms  | word |
      | b is cut off                       | 0.1 s pass                                   | 2016 | 500 | a    |
      | b is cut off                       | 50 s pass                                    | 2016 | 500 | a    |
      | b is cut off                       | b-2 is killed, 0.1 s pass                                | 2016 | 500 | a    |
      | b is cut off                       | b-2 is killed, b-2 starts cut off            | 2016 | 500 | a    |
      | b is cut off                       | a-1 is killed, a-2 is killed, 0.1 s pass                 | 2016 | 500 | a    |
      | b is cut off                       | v1 leaves, all of a are killed               | 2016 | 500 | a    |
      | b is cut off                       | v2 leaves, b is reached again, all of a are killed | 2015 | 500 | a |
      | b is cut off                       | v2 drains, 2 s pass, v2 leaves, b is reached again, all of a are killed | 2015 | 500 | no |
      | b is cut off                       | v2 leaves, origins are lost, b is reached again, all of a are killed | 2015 | 500 | a |
      | b is cut off                       | v2 leaves, origins are lost, all of a are killed, b is reached again | 2016 | 500 | a |

  # Guards against instances that take their list for current though nothing has come for a while.
  Scenario Outline: The list of servers is late
    Given only version v1 is listed
    And then <late>, v2 is listed
    And server llm-2 runs the next stream, and llm-3 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And then 1 s pass
    When the caller resumes stream r at b-1
    Then stream r has events 1 to 6, and ran on llm-2, llm-5

    Examples:
      | late              |
      | b gets no changes |

  # Guards against streams that are refused though one version alone can have begun them.
  Scenario Outline: Only one version serves
    Given only version v1 is listed
    And then <before>
    And server llm-1 runs the next stream, and llm-3 has the least to do after it
    And a caller of resumable stream r at <first> has 2 events when its connection breaks
    And then <after>
    When the caller resumes stream r at <second>
    Then stream r has events 1 to 6, and ran on llm-1, llm-3

    Examples: At an instance that is in touch
      | before       | first | after                          | second |
      | b is cut off | b-1   | 0.1 s pass                     | a-1    |
      | b is cut off | b-1   | b-1 is killed, 0.1 s pass                  | a-1    |
      | b is cut off | a-1   | a-1 is killed, 0.1 s pass                  | a-2    |
      | 0.1 s pass   | b-1   | b-1 is killed, b-2 is killed, 0.1 s pass   | a-1    |

    Examples: At an instance of the data centre that is cut off
      | before       | first | after                          | second |
      | 0.1 s pass   | b-1   | b is cut off                   | b-2    |
      | b is cut off | b-1   | 0.1 s pass                     | b-2    |
      | b is cut off | b-1   | b-1 is killed, 0.1 s pass                  | b-2    |
      | b is cut off | b-1   | b-1 is killed, b-1 starts cut off | b-1 |

    Examples: While the store is away
      | before            | first | after                          | second |
      | all lose the store | a-1  | 0.1 s pass                     | b-1    |
      | all lose the store | b-1  | b-1 is killed, 0.1 s pass                  | b-2    |

  # Guards against streams that nobody knows in a data centre that is cut off, since the one instance
  # that was told of them is slow or has ended.
  Scenario Outline: Only one version serves in a large fleet
    Given 12 more instances in data centres a, b, c
    And only version v1 is listed
    And then b is cut off
    And server llm-1 runs the next stream, and llm-3 has the least to do after it
    And a caller of resumable stream r at b-2 has 2 events when its connection breaks
    And 2 instances other than b-2 know of it
    And then <after>
    When the caller resumes stream r at b-3
    Then stream r has events 1 to 6, and ran on llm-1, llm-3

    Examples:
      | after                                                                |
      | holder 1 of b is killed, 0.1 s pass                                  |
      | b-2 is killed, holder 1 of b is killed, 0.1 s pass                   |
      | holder 1 of b answers 2000 ms late                                   |
      | holder 2 of b answers 2000 ms late                                   |
      | holder 1 of b answers 150 ms late, holder 2 of b answers 150 ms late |

  # Guards against streams that none of the instances knows that are asked, since these were others
  # when the streams began.
  Scenario Outline: Other instances of a large fleet are told of a stream than when it began
    Given 12 more instances in data centres a, b, c
    And only version v1 is listed
    And then b is cut off
    And server llm-1 runs the next stream, and llm-3 has the least to do after it
    And a caller of resumable stream r at b-5 has 2 events when its connection breaks
    And then holder 1 of b starts again cut off, holder 1 of b starts again cut off, <after>
    When the caller resumes stream r at b-3
    Then stream r has events 1 to 6, and ran on llm-1, llm-3

    Examples:
      | after                                 |
      | 0.1 s pass                            |
      | 1 s pass, b-5 is killed, 0.1 s pass   |

  # Guards against streams that nobody is told of while the first instances by rank have ended.
  Scenario: The instances of a large fleet that would be told of a stream have ended
    Given 12 more instances in data centres a, b, c
    And only version v1 is listed
    And then b is cut off, holder 1 of b is killed, holder 2 of b is killed, 0.1 s pass
    And server llm-1 runs the next stream, and llm-3 has the least to do after it
    And a caller of resumable stream r at b-5 has 2 events when its connection breaks
    And then b-5 is killed, 0.1 s pass
    When the caller resumes stream r at b-3
    Then stream r has events 1 to 6, and ran on llm-1, llm-3
