@platform
Feature: Answers of servers that never end
  # Guards against an instance that reads for ever what one faulty server sends. Interim responses,
  # trailers and slow heads were read without a limit on the whole call, and nothing that read from
  # a server let other tasks run while bytes were there: one such answer stopped the instance.

  Scenario: Bytes of an event that never ends are looked at once each
    # Guards against a search of the whole incomplete event for each further chunk.
    Given an event of 50000 bytes that comes in pieces of 4 bytes
    When the stream is split into events
    Then the event is given out whole once it ends
    And each search began where the one before had ended
