@forwarding
Feature: Callers resume streams after a loss of all instances
  # A process that has just started knows neither which software version began a stream nor which
  # versions served before it started.

  Background:
    Given instances a-1, a-2, b-1 and model servers of two versions
      | server | datacentre | version |
      | llm-1  | a          | v1      |
      | llm-2  | b          | v2      |
      | llm-3  | b          | v1      |

  # Guards against a version that stays in the store, since its writer ended before it was told better.
  Scenario: A stream turns out to be unverified as the writer of origins ends
    Given server llm-1 runs the next stream, and llm-2 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And then 1 s pass
    And all but the writer are told that the stream is unverified
    And then the writer is killed, 5 s pass, all are killed, all start
    When the caller resumes stream r at b-1
    Then it is refused as not run with code 2016 within 300 ms, and no Retry-After

  # Guards against streams that continue at the only version that is listed when instances start.
  Scenario Outline: The version that began a stream is gone
    Given server llm-1 runs the next stream, and llm-2 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And then <events>
    When the caller resumes stream r at b-1
    Then it is refused as not run with code <code> within 300 ms, and <word> Retry-After

    Examples: Its origin is in the store
      | code | word | events                                                                       |
      | 2015 | a    | all are killed, v1 leaves, all start                                         |
      | 2015 | a    | v1 leaves, all are killed, all start                                         |
      | 2015 | no   | v1 drains, 2 s pass, all are killed, v1 leaves, all start                    |
      | 2015 | a    | all are killed, v1 leaves, all start, 0.2 s pass, all are killed, all start  |
      | 2015 | a    | v1 leaves, all are killed in turn                                            |
      | 2015 | a    | v1 leaves, all are killed in turn, all are killed in turn                    |
      | 2015 | a    | v1 leaves, v3 comes, v2 leaves, all are killed, all start                    |
      | 2015 | a    | all are killed, v1 leaves, v3 comes, v2 leaves, all start                    |
      | 2015 | a    | all are killed, v1 leaves, llm-1 comes back as v2, all start                 |
      | 2015 | no   | v1 drains, 0.1 s pass, all are killed, v1 leaves, all start                  |
      | 2015 | no   | v1 drains, 0.1 s pass, v1 leaves, all are killed in turn                     |
      | 2015 | a    | all are killed, v1 leaves, b-1 starts                                        |

    Examples: Its origin is not known
      | code | word | events                                                                       |
      | 2016 | no   | v1 leaves, 50 s pass, all are killed, all start                              |
      | 2016 | a    | v1 leaves, origins cannot be read, all are killed, all start                 |
      | 2016 | no   | origins are lost, all are killed, v1 leaves, all start                       |
      | 2016 | no   | origins are lost, v1 leaves, all are killed, all start                       |
      | 2016 | no   | origins are lost, v1 leaves, all are killed in turn                          |
      | 2016 | no   | origins are lost, all are killed, v1 leaves, all start, 0.2 s pass, all are killed, all start |
      | 2016 | no   | origins are lost, v1 leaves, v3 comes, v2 leaves, all are killed, all start  |
      | 2016 | no   | origins are lost, all are killed, v1 leaves, llm-1 comes back as v2, all start |

  # Guards against callers that are told not to come back by a process that does not know yet whom it
  # could ask.
  Scenario: An instance that has just started knows no others
    Given server llm-1 runs the next stream, and llm-2 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And then origins are lost, the list of instances cannot be read
    And then b reaches no other data centre, b-1 is killed, b-1 starts
    When the caller resumes stream r at b-1
    Then it is refused as not run with code 2016 within 300 ms, and a Retry-After

  # Guards against a version that is taken for past since it was only on the list for a moment.
  Scenario Outline: A release is rolled back
    Given only version v1 is listed
    And version v2 is listed
    And server llm-2 runs the next stream, and llm-1 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And then <events>
    When the caller resumes stream r at b-1
    Then it is refused as not run with code <code> within 300 ms, and <word> Retry-After

    Examples:
      | code | word | events                                                |
      | 2015 | a    | all are killed, v2 leaves, all start                  |
      | 2016 | no   | origins are lost, all are killed, v2 leaves, all start |

  # Guards against streams that are refused while their version serves.
  Scenario Outline: Both versions still serve
    Given server llm-1 runs the next stream, and llm-2 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And then <events>
    When the caller resumes stream r at b-1
    Then stream r has events 1 to 6, and ran on llm-1, llm-3

    Examples:
      | events                                                                        |
      | all are killed, all start                                                     |
      | all are killed, all start, 0.2 s pass, all are killed, all start              |
      | all are killed in turn                                                        |
      | all are killed, b-1 starts                                                    |
      | all are killed, a-2 starts, b-1 starts at once                                |
      | origins are lost, the writer is killed, 2 s pass, all are killed, all start   |
      | a copy of the store without origins is restored, 2 s pass, all are killed, all start |

  Scenario: The streams of a version that served alone are stored once a second one is listed
    Given only version v1 is listed
    And server llm-1 runs the next stream, and llm-3 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And then v2 comes, all are killed, all start
    When the caller resumes stream r at b-1
    Then stream r has events 1 to 6, and ran on llm-1, llm-3

  # Guards against refusals where only one version can have begun the stream.
  Scenario Outline: Only one version has served
    Given only version v1 is listed
    And server llm-1 runs the next stream, and llm-3 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And then <events>
    When the caller resumes stream r at b-1
    Then stream r has events 1 to 6, and ran on llm-1, llm-3

    Examples:
      | events                                                                  |
      | all are killed, all start                                               |
      | all are killed, all start, 0.2 s pass, all are killed, all start        |
      | all are killed in turn                                                  |
      | all are killed, b-1 starts                                              |
      | versions are read in 300 ms, all are killed, b-1 starts at once         |
      | versions cannot be read, a-1 is killed, b-1 is killed, b-1 starts       |
      | versions were never written, all are killed, all start                  |

  Scenario: The versions cannot be read at a start
    Given only version v1 is listed
    And server llm-1 runs the next stream, and llm-3 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And then versions cannot be read, all are killed, all start
    When the caller resumes stream r at b-1
    Then it is refused as not run with code 2016 within 500 ms, and a Retry-After
    When versions can be read again, 1 s pass, and the caller resumes stream r at b-1
    Then stream r has events 1 to 6, and ran on llm-1, llm-3

  # Guards against versions that stay in the store for ever, or are removed too early.
  Scenario: Versions are in the store until no stream of them can last any more
    Then the store has versions v1, v2
    When these happen: v1 leaves, 55 s pass
    Then the store has versions v1, v2
    When these happen: 7 s pass
    Then the store has versions v2
    When these happen: llm-1 comes back as v1
    Then the store has versions v1, v2

  # Guards against versions that are removed while an instance may use them that nobody hears of.
  Scenario Outline: Versions are in the store as long as a silent instance may use them
    When these happen: <events>, 62 s pass
    Then the store has versions <versions>
    When these happen: <later>
    Then the store has versions v2

    Examples:
      | events                                           | versions | later                         |
      | b is cut off, v1 leaves                          | v1, v2   | b is reached again, 62 s pass |
      | b-1 is killed, v1 leaves                         | v1, v2   | b-1 starts, 62 s pass         |
      | b-1 is killed, v1 leaves, b-1 starts             | v2       | 1 s pass                      |
      | b-1 stops, v1 leaves                             | v2       | 1 s pass                      |
      | v1 leaves, 4 s pass, b-1 is killed               | v2       | 1 s pass                      |
      | b-1 is killed, 62 s pass, v1 leaves              | v1, v2   | b-1 starts, 62 s pass         |
      | b-1 is killed, v1 leaves, all are killed in turn | v1, v2   | b-1 starts, 62 s pass         |
      | b-1 is killed, v1 leaves                         | v1, v2   | 3600 s pass                   |

  Scenario: The store has it that a version leaves, until a server of it is listed that stays
    When these happen: v1 drains, 0.1 s pass
    Then the store has version v1 as leaving
    When these happen: v1 leaves
    Then the store has version v1 as leaving
    When these happen: llm-1 comes back as v1
    Then the store has version v1 as staying

  Scenario: Versions that could not be written are written later
    Given only version v1 is listed
    When these happen: versions cannot be written, v2 comes, 3 s pass
    Then the store has versions v1
    When these happen: versions can be written, 3 s pass
    Then the store has versions v1, v2

  Scenario Outline: A restored store gets the versions back, and loses those that are past
    Given only version v1 is listed
    When these happen: a copy of the store is saved, <events>, a copy of the store is restored, 3 s pass
    Then the store has versions <versions>

    Examples:
      | events                          | versions |
      | llm-2 comes back as v2          | v1, v2   |
      | v1 leaves, llm-2 comes back as v2, 62 s pass | v2 |

  # Guards against calls of the store that grow with the number of instances or with its changes.
  Scenario: What the versions cost
    Given 21 more instances in data centres a, b, c
    When these happen: 30 s pass
    Then the table of versions has had at most 1 read an instance and 3 changes

  Scenario: Origins are in the store until their streams are past
    Given server llm-1 runs the next stream, and llm-2 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    Then the store has 1 batch of origins
    When these happen: all are killed, all start, 2 s pass
    Then the store has 1 batch of origins
    When these happen: 5 s pass
    Then the store has 1 batch of origins
    When these happen: 8 s pass
    Then the store has 0 batches of origins

  Scenario: Nothing is stored while one version serves
    Given only version v1 is listed
    And server llm-1 runs the next stream, and llm-3 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    Then the store has 0 batches of origins
    When each instance begins 3 streams within 1 s
    Then that took at most 0 reads and 0 changes of the table of origins

  # Guards against calls of the store that grow with the number of streams.
  Scenario: What the origins cost
    Given 21 more instances in data centres a, b, c
    When each instance begins 20 streams within 5 s
    Then that took at most 0 reads and 66 changes of the table of origins
    And the store has the origins of 480 streams
