@forwarding
Feature: Knowledge that was complete once is no proof that one version serves
  # What all known instances agree on, and what the store says, may lack a version that is in use.

  Background:
    Given instances a-1, a-2, b-1, b-2 and model servers of two versions
      | server | datacentre | version |
      | llm-1  | a          | v1      |
      | llm-2  | a          | v2      |
      | llm-3  | b          | v1      |
      | llm-5  | a          | v2      |

  # Guards against versions that an instance uses which was added while all others were cut off.
  Scenario: An instance is added that the others do not know
    Given only version v1 is listed
    And then c reaches no other data centre, all lose the store, c-1 starts, v2 is listed, 1 s pass
    And server llm-2 runs the next stream, and llm-3 has the least to do after it
    And a caller of resumable stream r at c-1 has 2 events when its connection breaks
    When the caller resumes stream r at b-1
    Then it is refused as not run with code 2016 within 500 ms, and a Retry-After

  # Guards against rows of versions that an instance removes by what it knew before it was cut off.
  Scenario: A version comes back and leaves again while a data centre is cut off
    Given only version v1 is listed
    And then v2 is listed, b-1 is killed, b-1 starts, b-2 is killed, b-2 starts, v2 is removed, b is cut off, 60 s pass
    And then v2 is listed
    And server llm-2 runs the next stream, and llm-3 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And then v2 is removed, all of a are killed, b is reached again
    When the caller resumes stream r at b-1
    Then it is refused as not run with code 2015 within 500 ms, and a Retry-After

  # Guards against rows of versions that are missing in an older copy, which no instance writes again.
  Scenario: The store is restored from a copy that is older than a version
    Given only version v1 is listed
    And then b is cut off, a copy of the store is saved, v2 is listed
    And server llm-2 runs the next stream, and llm-3 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And then v2 is removed, all of a are killed, a copy of the store is restored, b is reached again
    When the caller resumes stream r at b-1
    Then it is refused as not run with code 2016 within 500 ms, and a Retry-After

  # Guards against versions that are not listed any more but in use where the list is old.
  Scenario: A version is in use for more than a minute after its entries have expired
    Given only version v1 is listed
    And then b is cut off, v2 is listed, v1 is removed, 60 s pass
    And server llm-3 runs the next stream, and llm-2 has the least to do after it
    And a caller of resumable stream r at b-1 has 2 events when its connection breaks
    When the caller resumes stream r at a-1
    Then it is refused as not run with code 2016 within 500 ms, and a Retry-After

  # Guards against an older copy that new processes take for all that has served.
  Scenario: All instances start again at a store that is older than a version
    Given only version v1 is listed
    And then a copy of the store is saved, v2 is listed
    And server llm-2 runs the next stream, and llm-3 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And then v2 is removed, all are killed, a copy of the store is restored, all start
    When the caller resumes stream r at b-1
    Then it is refused as not run with code 2016 within 500 ms, and a Retry-After

  # Guards against a version that nobody could write down, while the store can be read.
  Scenario Outline: The store takes no changes while a version serves
    Given only version v1 is listed
    And then b is cut off, versions cannot be written, <events>
    And server llm-2 runs the next stream, and llm-3 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And then v2 is removed, all of a are killed, b is reached again
    When the caller resumes stream r at b-1
    Then it is refused as not run with code <code> within 500 ms, and a Retry-After

    Examples: The origin of the stream is in the store, or it is not
      | code | events                                |
      | 2015 | v2 is listed                          |
      | 2016 | origins cannot be read, v2 is listed  |

  # Guards against streams of two versions after an outage of the tables of this system in which a
  # version came and went, and a loss of all instances.
  Scenario Outline: The tables of this system are away while a version serves, and all are killed
    Given only version v1 is listed
    And then versions cannot be written, versions cannot be read, origins cannot be read, v2 is listed
    And server llm-2 runs the next stream, and llm-3 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And then <events>
    When the caller resumes stream r at b-1
    Then it is refused as not run with code 2016 within 1000 ms, and a Retry-After

    Examples: The tables are back
      | events                                                                                                                          |
      | v2 is removed, all are killed, all start, versions can be written, versions can be read, 2 s pass                               |
      | all are killed, v2 is removed, all start, versions can be written, versions can be read, 2 s pass                               |
      | v2 is removed, all are killed in turn, versions can be written, versions can be read, 2 s pass                                  |
      | v2 is removed, all are killed, versions can be written, versions can be read, all start                                         |
      | v2 is removed, all are killed, versions can be read, all start, 5 s pass                                                        |
      | v2 is removed, all are killed, the store forgets its history, all start, versions can be written, versions can be read, 2 s pass |
      | v2 is removed, all are killed, all start, versions can be written, versions can be read, 5 s pass, all are killed, all start    |
      | v2 is removed, all are killed, all start, versions can be written, versions can be read, 40 s pass                              |

    Examples: They are not
      | events                                                 |
      | v2 is removed, all are killed, all start               |
      | v2 is removed, all are killed, all start, 5 s pass     |

  # Guards against refusals after such an outage where no second version has served.
  Scenario Outline: The tables of this system are away, only one version serves, and all are killed
    Given only version v1 is listed
    And then 30 s pass, versions cannot be written, versions cannot be read, origins cannot be read, <events>
    When a caller resumes stream r at b-1
    Then it is answered with events 3 to 6

    Examples:
      | events                                                                                                       |
      | 6 s pass, all are killed, all start, versions can be written, versions can be read, 2 s pass                 |
      | 6 s pass, all are killed in turn, versions can be written, versions can be read, 2 s pass                    |
      | llm-5 comes back as v1, 6 s pass, all are killed, all start, versions can be written, versions can be read, 2 s pass |
      | 6 s pass, versions can be written, versions can be read, llm-3 leaves the list, 2 s pass, all are killed, all start |
      | 6 s pass, the store forgets its history, all are killed, all start, versions can be written, versions can be read, 2 s pass |
      | versions can be written, versions can be read, the store forgets its history, all are killed, all start      |
      | versions can be written, versions can be read, llm-5 comes back as v1, the store forgets its history, all are killed, all start |
      | versions can be written, versions can be read, llm-5 comes back as v1, llm-5 comes back as v1, the store forgets its history, all are killed, all start |

  # Guards against streams that a restored store ends although nobody has ended, and the reverse.
  Scenario Outline: Nobody knows a stream, but only one version has served
    Given only version v1 is listed
    And then a copy of the store is saved, 5 s pass, <events>
    When a caller resumes stream r at b-1
    Then it is answered with events 3 to 6

    Examples:
      | events                                                                                                    |
      | a copy of the store is restored                                                                           |
      | a copy of the store is restored, a-1 is killed, 0.1 s pass                                                |
      | a copy of the store is restored, 1 s pass, a-1 is killed, a-2 is killed, 0.1 s pass                       |
      | all are killed, all start                                                                                 |
      | a copy of the store is restored, 1 s pass, all are killed, all start                                      |
      | a copy of the store is restored, 1 s pass, all are killed in turn                                         |
      | all lose the store, a copy of the store is restored, all reach the store again, all are killed, all start |
      | versions cannot be written, a copy of the store is restored, a-1 is killed, 0.1 s pass                    |
      | all are killed, a copy of the store is restored, all start, 62 s pass, a-1 is killed, 0.1 s pass          |
      | all are killed, a copy of the store is restored, all start, 62 s pass, all are killed, all start          |

  # Guards against refusals in a large fleet, where not all instances can be asked.
  Scenario Outline: Nobody knows a stream in a large fleet, but only one version has served
    Given 14 more instances in data centres a, b, c
    And only version v1 is listed
    And then a copy of the store is saved, 5 s pass, <events>
    When a caller resumes stream r at b-1
    Then it is answered with events 3 to 6

    Examples:
      | events                                                                             |
      | a copy of the store is restored                                                    |
      | all lose the store, a copy of the store is restored, all reach the store again     |
      | a copy of the store is restored, 1 s pass, all are killed, all start, 2 s pass     |

  # Guards against rows that are taken for all before an instance that knew all has confirmed them.
  Scenario Outline: All instances end, and the store is restored before one of them has confirmed it
    Given only version v1 is listed
    And then a copy of the store is saved, 5 s pass, <events>
    When a caller resumes stream r at b-1
    Then it is refused as not run with code 2016 within 500 ms, and a Retry-After

    Examples:
      | events                                                                                 |
      | all are killed, a copy of the store is restored, all start                             |
      | all are killed, a copy of the store is restored, all start, 50 s pass                  |
      | all are killed, a copy of the store is restored, all start, all are killed, all start  |
      | versions cannot be written, a copy of the store is restored, all are killed, all start |
      | b is cut off, all of a are killed, a copy of the store is restored, b is reached again |
