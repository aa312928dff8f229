Feature: Scores of benchmark days are compared with recorded bounds
  A change could lower the score of a day unnoticed. A score may fall by 0.03 or, where that is
  more, by the difference between two runs of the same code; a broken rule always fails.

  Scenario Outline: The score of a run is compared with the bound of its day
    Given the bound of day scale-1 is 0.600, with a spread of <spread>
    When a run of it has worth <worth> and breaks rules "<rules>"
    Then the verdict is "<verdict>"

    Examples:
      | spread | worth | rules | verdict       |
      | 0      | 0.575 |       |               |
      | 0      | 0.560 |       | fell by 0.040 |
      | 0.05   | 0.560 |       |               |
      | 0.05   | 0.540 |       | fell by 0.060 |
      | 0      | 0.700 | DRAIN | broke: DRAIN  |

  Scenario: Only regression runs of this commit count as done when an interrupted check resumes
    Given a journal with a regression run of this commit, one of another commit, and a trial
    Then only the first counts as done

  Scenario: The file of bounds can be read
    Then every bound names a site, a day and a worth
