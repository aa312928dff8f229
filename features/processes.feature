@processes
Feature: Instances as processes that are killed, paused and restarted
  # Faults that only separate processes show: lost memory and open connections of a killed instance,
  # outdated revisions of a paused one, requests in flight during a rolling restart.

  Background:
    Given the platform, the backend servers and instances a-1 and b-1 as processes

  Scenario: An instance is killed while it runs a push
    Given the servers are 1500 ms slower
    When a push with key "k" is sent to process a-1 and a-1 is killed while it runs
    Then a repeat with key "k" at b-1 is not run and has an unknown outcome
    And the stand-ins ran "push" 1 time

  Scenario: A paused instance applies the newest revision after it continues
    When process b-1 is paused
    And the command line drains desk-1
    And process b-1 continues
    Then b-1 has revision 2 in force eventually

  Scenario: All instances are restarted one after the other under load
    When both processes are restarted one after the other under load
    Then every request was answered completely or refused as not run
    And at least 20 requests were answered completely
    And no process cut a request

  Scenario: A process with bad settings exits with status 2 and reports every error
    When mountladderd is started with bad settings
    Then it exits with status 2 and reports 7001 for 6 errors

  # Guards against an instance that a SIGHUP ends while its modules load, as its settings change.
  Scenario: SIGHUP is ignored before an instance behind an adapter loads its modules
    When an instance behind an adapter loads its first module
    Then SIGHUP is ignored there
