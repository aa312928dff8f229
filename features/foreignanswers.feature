@platform
Feature: Answers that belong to other calls
  # Guards against an unsafe request that is sent to a second server while the first one runs it:
  # a late refusal of the request before it was believed.
  Scenario Outline: A late extra answer says nothing about the request that waits
    Given a backend server that sends <extra> to the request before each of its answers
    When requests r1, r2 and r3 are sent to it one after the other
    Then r1 and r3 are answered, and r2 ends with code 3010 and may have run
    And they went over 2 connections
    And the extra answer gave no notice

    Examples:
      | extra                               |
      | a late refusal                      |
      | a late refusal with a back-off      |
      | a late refusal with status 421      |
      | a late refusal for missing inputs   |
      | a late refusal without an id        |
      | a late answer with a limit          |
      | a late answer with status 500       |
