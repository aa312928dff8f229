@virtual
Feature: Pipelines whose engines run several software versions
  # Guards against streams of two versions: a stream that broke was resumed at any engine. The cause
  # is that of streamversions.feature, for pipelines.

  Background:
    Given a fleet of instances a-1

  Scenario Outline: A stream that is cut continues at an engine of the version that began it
    Given engine large-1 has the label version <first> and engine large-2 <second>
    And the server large-1 has faults {"cut_after": 3}
    And the server large-2 has faults {"cut_after": 3}
    When "a-1" is sent "reply" as "one"
    Then "one" ends as done
    And "one" has tokens 1 to 8 once each
    And its tokens came from <engines> engines

    Examples:
      | first | second | engines |
      | v1    | v2     | 1       |
      | v1    | v1     | 2       |
