Feature: The commands `lines` and `account`, which read the log lines of requests
  Scenario: The lines of one request are collected from several logs in order of time
    Given logs of two instances with lines of requests r1 and r2
    When the log lines of r1 are requested
    Then they are received, pieces-made, ended in this order with the time since the first

  Scenario: A request that is in no log is an error
    Given logs of two instances with lines of requests r1 and r2
    When the log lines of r9 are requested
    Then the command fails and names r9

  Scenario: Requests by outcome, and the station where late and lost ones spent their time
    Given logs of a route with a latency target of 1000 ms
    When the account of the logs is requested
    Then it counts 1 on time, 2 late, 1 refused, 1 again, 1 left, 1 failed and 1 unended
    And the station of each request that was not on time is named

  Scenario: Outcomes by the size of prompts
    Given logs of 20 requests of a route, the 2 largest of which were refused at admission
    When the account of the logs is requested
    Then it shows the largest tenth with 2 refused, 2 of them at admission, and the others on time

  Scenario: A line that counts requests in place of naming them
    # Guards against an account that fails on logs of servers that have just started.
    Given logs of a route with a latency target of 1000 ms
    And one line more that says that a server was sent 3 requests
    When the account of the logs is requested
    Then it counts 1 on time, 2 late, 1 refused, 1 again, 1 left, 1 failed and 1 unended
