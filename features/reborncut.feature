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
    And the list of servers is confirmed at a-1
    And a-1 is cut off from the store and its peers
    And server llm-3 starts again at version v2
    When the caller resumes stream r at a-1
    Then it is refused as not run with code 2015 within 300 ms, and a Retry-After

  Scenario Outline: A caller resumes a stream of which one listed server has started again
    Given a server llm-4 in data centre b with version v1 that started at 5
    And server llm-1@5 runs the next stream, and llm-3@5 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And the list of servers is confirmed at a-1
    And a-1 is cut off from the store and its peers
    And server <name> starts again at version v2
    And server <name>@5 has the least to do
    When the caller resumes stream r at a-1
    Then stream r has events 1 to 6, and ran on llm-1@5, <other>@5

    Examples:
      | name  | other |
      | llm-3 | llm-4 |
      | llm-4 | llm-3 |

  # Guards against attempts that are used up at servers that are known to have started again.
  Scenario: A caller resumes a stream of which many listed servers have started again
    Given servers llm-4, llm-5, llm-6, llm-7, llm-8 with version v1 that started at 5
    And server llm-1@5 runs the next stream, and llm-3@5 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And the list of servers is confirmed at a-1
    And a-1 is cut off from the store and its peers
    And servers llm-3, llm-4, llm-5, llm-6, llm-7 start again at version v2
    And 40 streams have been sent to a-1 within 1 s
    And server llm-8@5 has the most to do
    When the caller resumes stream r at a-1
    Then stream r has events 1 to 6, and ran on llm-1@5, llm-8@5

  Scenario: A stream breaks of which many listed servers have started again
    Given servers llm-4, llm-5, llm-6, llm-7, llm-8 with version v1 that started at 5
    And a-1 is cut off from the store and its peers
    And servers llm-3, llm-4, llm-5, llm-6, llm-7 start again at version v2
    And 40 streams have been sent to a-1 within 1 s
    And server llm-1@5 breaks off within the third event
    And server llm-8@5 has the most to do
    When resumable stream r is sent to a-1
    Then stream r has events 1 to 6, and ran on llm-1@5, llm-8@5

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

  Scenario: No instance reaches the store, and no server has started again
    Given the store is away
    And server llm-1@5 runs the next stream, and llm-2@5 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    When the caller resumes stream r at b-1
    Then stream r has events 1 to 6, and ran on llm-1@5, llm-3@5

  Scenario: No instance reaches the store, and a server has started again
    Given the store is away
    And server llm-1 starts again at version v2
    And server llm-1@5 runs the next stream, and llm-2@5 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    When the caller resumes stream r at b-1
    Then it is refused as not run with code 2016 within 300 ms, and no Retry-After

  # Servers of some deployments tell no start, so that nothing shows whether they have started again.
  Scenario: The entries of servers have no start
    Given the entries of all servers have no start
    And a-1 is cut off from the store and its peers
    And server llm-1 runs the next stream, and llm-2 has the least to do after it
    And server llm-1 breaks off within the third event
    When resumable stream r is sent to a-1
    Then stream r has events 1 to 6, and ran on llm-1, llm-3
    And servers were asked 0 times when they started

  # Guards against streams that continue since a server did not say when it started, and against new
  # streams that are lost for it.
  Scenario Outline: A server does not say when it started
    Given a-1 is cut off from the store and its peers
    And server <name> does not say when it started
    And server llm-1@5 runs the next stream, and llm-2@5 has the least to do after it
    And server llm-1@5 <fault>
    When resumable stream r is sent to a-1
    Then stream r has events 1 to <last>, and ran on llm-1@5

    Examples:
      | name  | fault                             | last |
      | llm-1 | is sound                          | 6    |
      | llm-1 | breaks off within the third event | 2    |
      | llm-3 | breaks off within the third event | 2    |

  # Guards against a list that stays old after the cut.
  Scenario: An instance that was cut off uses a server that has started again for its new version
    Given a-1 is cut off from the store and its peers
    And server llm-1 starts again at version v2
    And a-1 is in touch again
    And server llm-1@9 runs the next stream, and llm-3@5 has the least to do after it
    And server llm-1@9 breaks off within the third event
    When resumable stream r is sent to a-1
    Then stream r has events 1 to 6, and ran on llm-1@9, llm-2@5
    And servers were asked 0 times when they started

  # Guards against questions to servers, each of which has its price.
  Scenario: Many streams share one question a server and second
    Given a-1 is cut off from the store and its peers
    When 40 streams are sent to a-1 within 4 s
    Then all have 6 events
    And servers were asked at most 15 times when they started, and each at most once a second

  Scenario Outline: Nothing is asked while instances are in touch
    Given <number> more instances in data centres a, b, c
    And <event>
    When 60 streams are sent to <name> within 3 s
    Then all have 6 events
    And servers were asked 0 times when they started

    Examples:
      | number | event                                      | name   |
      | 0      | no entry changes                           | a-1    |
      | 0      | no entry changes                           | b-1    |
      | 0      | no entry changes                           | reader |
      | 0      | the reader of the store ends               | last   |
      | 0      | b-1 is cut off from the store              | b-1    |
      | 0      | the entries of servers change all the time | a-1    |
      | 0      | the entries of servers change all the time | last   |
      | 0      | a-2 is killed and starts again             | a-2    |
      | 21     | no entry changes                           | c-3    |
      | 21     | the entries of servers change all the time | c-3    |

  # Guards against a list that counts as old where entries change faster than they arrive.
  Scenario Outline: A peer announces entries
    Given a-1 has a list of servers up to change 1
    When a peer that <reads> announces change <announced> every 300 ms, which arrives <arrives>
    Then after 6 s the list is known to be current <age>

    Examples:
      | reads                         | announced | arrives     | age               |
      | polls the store               | 1         | never       | since 0 to 300 ms |
      | polls the store               | n + 1     | 20 ms later | since 0 to 620 ms |
      | polls the store               | n + 1     | never       | at no time        |
      | does not poll the store       | 1         | never       | at no time        |
      | the store does not answer     | 1         | never       | at no time        |

  # Guards against streams of two versions by an instance that stood still: what waited in its sockets
  # meanwhile was taken for new, so that a server which had started again counted as the one before.
  Scenario Outline: What waited while the process stood still does not confirm the list since
    Given a-1 has a list of servers up to change 1
    When the process stands still for 3500 ms
    And it reads <what>
    Then the list is known to be current as of before it stood still, and not since
    When it reads a beacon 200 ms later
    Then the list is known to be current as of before it stood still, and not since
    When it reads a beacon 1000 ms later
    Then the list is known to be current

    Examples:
      | what                                                |
      | a beacon that waited, before its timers have run    |
      | a beacon that waited, after its timers have run     |
      | an answer of the store that waited                  |

  # Guards against streams of two versions in the first moments of a cut, in which the list of servers
  # is not yet taken to be old.
  Scenario Outline: A server that crashed before a cut starts again in its first second
    Given a-1 is cut off from the store and its peers for <first> s
    And <ms> ms ago server <name> has come back with version v2
    And server llm-1@5 runs the next stream, and llm-2@5 has the least to do after it
    And server llm-1@5 breaks off within the third event
    When resumable stream r is sent to a-1
    Then stream r has events 1 to 2, and ran on llm-1@5

    Examples:
      | first | name  | ms  |
      | 0.2   | llm-1 | 100 |
      | 0.2   | llm-3 | 100 |
      | 1     | llm-1 | 100 |
      | 1.5   | llm-1 | 100 |
      | 2     | llm-1 | 100 |

  # Guards against streams of two versions by a removed entry that counts as the one before: the start
  # in between was never listed here, since the server left again before this instance read the list.
  Scenario Outline: A server started again and left while an instance had an old list
    Given a-1 is cut off from the store and its peers for 0.2 s
    And 100 ms ago server llm-1 has come back with version v2
    And the entry of server llm-1 has been removed
    And server llm-1@5 runs the next stream, and llm-3@5 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And a-1 is in touch again
    When the caller resumes stream r at <instance>
    Then it is refused as not run with code 2016 within 600 ms, and no Retry-After

    Examples:
      | instance |
      | a-1      |
      | b-1      |

  Scenario: A server has started again and left by the time of a stream's first event
    Given as a stream is sent to it, server llm-1 starts again at v2 and its entry is removed
    And server llm-1@5 runs the next stream, and llm-3@5 has the least to do after it
    And server llm-1@5 breaks off within the third event
    When resumable stream r is sent to a-1
    Then stream r has events 1 to 2, and ran on llm-1@5

  Scenario: A server whose entry was removed still runs the version that began a stream
    # It serves for a while after its entry has been removed, and is asked when it started.
    Given the entry of server llm-1 has been removed
    And server llm-1@5 runs the next stream, and llm-3@5 has the least to do after it
    And server llm-1@5 breaks off within the third event
    When resumable stream r is sent to a-1
    Then stream r has events 1 to 6, and ran on llm-1@5, llm-3@5

  # Guards against a first event that is taken to be of the version in an entry which is older.
  Scenario Outline: A stream begins after the list of servers was last confirmed
    Given a-1 is cut off from the store and its peers for <first> s
    And 100 ms ago server llm-1 has come back with version v2
    And server llm-1@5 runs the next stream, and llm-2@5 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    When the caller resumes stream r at a-1
    Then it is refused as not run with code 2016 within 600 ms, and no Retry-After

    Examples:
      | first |
      | 0.2   |
      | 1     |

  # Where neither the list nor the server tells its start, the stream may be of either version.
  Scenario: The server of a stream ends in the first moments of a cut
    Given a-1 is cut off from the store and its peers for 0.2 s
    And server llm-1@5 runs the next stream, and llm-3@5 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    When the caller resumes stream r at a-1
    Then it is refused as not run with code 2016 within 300 ms, and no Retry-After

  # Guards against origins that other instances of the same side were told in that time.
  Scenario: A stream that another instance of the data centre began is resumed
    Given a-1 and b-1 are cut off from the store and their peers, but not from each other
    And 100 ms ago server llm-1 has come back with version v2
    And server llm-1@5 runs the next stream, and llm-2@5 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And 2 s pass
    When the caller resumes stream r at b-1
    Then it is refused as not run with code 2016 within 300 ms, and no Retry-After

  # Guards against the same before the instance that began it has found out.
  Scenario: A stream that another instance of the data centre began is resumed at once
    Given a-1 and b-1 are cut off from the store and their peers, but not from each other
    And 100 ms ago server llm-1 has come back with version v2
    And server llm-1@5 runs the next stream, and llm-2@5 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    When the caller resumes stream r at b-1
    Then it is refused as not run with code 2016 within 600 ms, and no Retry-After

  # Guards against reads of the store where nothing is continued.
  Scenario: Streams that do not break read nothing from the store
    Given reads of the store for streams are counted
    When 60 streams are sent to a-1 within 3 s
    Then all have 6 events
    And the store was read 0 times for them

  Scenario: Streams that break in touch continue without a question to a server
    Given reads of the store for streams are counted
    And server llm-1@5 runs the next stream, and llm-3@5 has the least to do after it
    And server llm-1@5 breaks off within the third event
    When resumable stream r is sent to a-1
    Then stream r has events 1 to 6, and ran on llm-1@5, llm-3@5
    And servers were asked 0 times when they started
    And the store was read at most 2 times for them

  # Guards against streams that are never settled, since one began while those before were checked.
  Scenario: Streams begin while others are checked
    Given a-1 is cut off from the store and its peers for 0.2 s
    And server llm-1 takes 300 ms to say when it started
    When a stream begins at a-1 every 20 ms for 4 s, on each server in turn
    Then no stream of a-1 waits to be settled after 2 s

  # Guards against a list that a peer confirms whose last answer from the store is older.
  Scenario Outline: The instance that polls the store is cut off as well, and its calls hang
    Given a-1 and the reader of the store are cut off, but not from each other, and calls hang
    And 100 ms ago server llm-1 has come back with version v2
    And server llm-1@5 runs the next stream, and llm-2@5 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And <ms> ms pass
    When the caller resumes stream r at a-1
    Then it is refused as not run with code 2016 within 800 ms, and no Retry-After

    Examples:
      | ms  |
      | 300 |
      | 600 |

  # Guards against an answer of the store that was made before the stream began which it confirms.
  Scenario: Answers of the store arrive late
    Given a-1 is the only instance, and answers of the store reach it 320 ms late
    And 0 ms ago server llm-1 has come back with version v2
    And server llm-1@5 runs the next stream, and llm-2@5 has the least to do after it
    And a caller of resumable stream r at a-1 has 2 events when its connection breaks
    And the store has answered a-1 once more
    When the caller resumes stream r at a-1
    Then stream r has events 1 to 2, and ran on llm-1@5

  # Guards against events that are held for a read which cannot begin, or is not answered, in time.
  Scenario Outline: A stream that continues in touch is not held
    Given reads of the store for streams are <apart> ms apart and take <takes> ms
    And server llm-1@5 runs the next stream, and llm-3@5 has the least to do after it
    And server llm-1@5 breaks off within the third event
    When resumable stream r is sent to <name>
    Then stream r has events 1 to 6, and ran on llm-1@5, llm-3@5
    And stream r ended within <ms> ms

    Examples: In a fleet of 390, and while the store is slow
      | apart | takes | name | ms  |
      | 50    | 4     | a-1  | 160 |
      | 780   | 4     | a-1  | 160 |
      | 780   | 4     | b-1  | 160 |
      | 50    | 320   | a-1  | 260 |
      | 50    | 320   | b-1  | 260 |
