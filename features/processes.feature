@processes
Feature: Separate processes, killed, paused and restarted
  Background:
    Given the platform, the backend servers and instances a-1 and b-1 as processes

  Scenario: An instance is killed while it runs a push
    Given the servers are 1500 ms slower
    When a push with key "k" is sent to process a-1 and a-1 is killed while it runs
    Then a repeat with key "k" at b-1 is never run and ends as not known
    And the stand-ins ran "push" 1 time

  Scenario: An instance is paused and goes on with the newest revision
    When process b-1 is stopped for a while
    And the command line drains desk-1
    And process b-1 goes on
    Then b-1 has revision 2 in force in the end

  Scenario: All instances are restarted one after another under load
    When both processes are restarted one after another while requests are sent
    Then every request was answered whole or told that it did not run
    And at least 20 requests were answered whole
    And no process cut a request

  Scenario: Bad settings end the process with status 2 and every fault
    When mountladderd is started with bad settings
    Then it ends with status 2 and names 7001 for 6 faults
