Feature: From a request's id to its log lines
  Scenario: The lines of one request are gathered from several logs in order
    Given logs of two instances with lines of requests r1 and r2
    When the lines of r1 are asked for
    Then they are received, pieces-made, ended in this order with the time since the first

  Scenario: A request that no line names
    Given logs of two instances with lines of requests r1 and r2
    When the lines of r9 are asked for
    Then the command fails and names r9
