Feature: Days that must hold
  Scenario Outline: A play is held against what its day has reached
    Given day scale-1 has reached 0.600, two equal plays <spread> apart
    When it is played with worth <worth> and broken rules "<rules>"
    Then the verdict is "<verdict>"

    Examples:
      | spread | worth | rules | verdict       |
      | 0      | 0.575 |       |               |
      | 0      | 0.560 |       | fell by 0.040 |
      | 0.05   | 0.560 |       |               |
      | 0.05   | 0.540 |       | fell by 0.060 |
      | 0      | 0.700 | DRAIN | broke: DRAIN  |

  Scenario: A run that was stopped goes on where it was
    Given a journal with a regression play of this commit, one of another, and a trial
    Then only the first counts as played

  Scenario: The checked bounds can be read
    Then every bound names a site, a day and a worth
