Feature: Suspended machines
  # The monotonic clock of a suspended machine stops, and timers with it; the boot-time clock goes
  # on. On the monotonic clock entries, leases, deadlines and idle connections looked too young by
  # the whole suspension, and an instance acted on them after it resumed.

  Scenario: Time goes on while the machine is suspended
    Given a clock of a machine
    When the machine is suspended for 7000 ms
    Then 7000 ms have passed on the clock

  Scenario Outline: A timer that expired during a suspension fires at once
    Given a clock of a machine
    And <wait> <ms> ms
    When the machine is suspended for 7000 ms
    And the clock is read
    Then it has <outcome> within 500 ms

    Examples:
      | wait                      | ms    | outcome     |
      | a scheduled call due in   | 6000  | expired     |
      | a task that sleeps for    | 6000  | expired     |
      | a timeout of              | 6000  | expired     |
      | a wait for an event up to | 6000  | expired     |
      | a scheduled call due in   | 60000 | not expired |
      | a task that sleeps for    | 60000 | not expired |

  Scenario: A timer that expires after a suspension waits for the remaining time only
    Given a clock of a machine
    And a scheduled call due in 7100 ms
    When the machine is suspended for 7000 ms
    And the clock is read
    Then it has expired within 500 ms

  Scenario: A cancelled call is not made after a suspension
    Given a clock of a machine
    And a scheduled call due in 6000 ms
    When the call is cancelled
    And the machine is suspended for 7000 ms
    And the clock is read
    Then it has not expired within 300 ms

  Scenario: An instance does not trust its catalogue from before a suspension
    Given a forwarding instance on a clock of a machine, with a catalogue from the store
    When the machine is suspended for 7000 ms
    Then its catalogue is 7000 ms old
    And an unknown route is refused with code 2004

  Scenario: Reading the clock is cheap on a machine that was never suspended
    Given a clock of a machine
    When the clock is read 20000 times
    Then each reading took at most 20 microseconds
