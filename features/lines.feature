Feature: From a request's id to its log lines
  Scenario: The lines of one request are gathered from several logs in order
    Given logs of two instances with lines of requests r1 and r2
    When the lines of r1 are asked for
    Then they are received, pieces-made, ended in this order with the time since the first

  Scenario: A request that no line names
    Given logs of two instances with lines of requests r1 and r2
    When the lines of r9 are asked for
    Then the command fails and names r9

  Scenario: Where the time of late and lost requests went
    Given logs of a route with an aim of 1000 ms
    When the account of the logs is asked for
    Then it counts 1 on time, 2 late, 1 refused, 1 again, 1 left, 1 failed and 1 unended
    And the station of each that was not on time is named

  Scenario: What became of requests by the size of their prompts
    Given logs of 20 requests of a route, the 2 largest of which were refused at admission
    When the account of the logs is asked for
    Then it shows the largest tenth with 2 refused, 2 of them at admission, and the others on time
