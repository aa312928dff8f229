Feature: Machines that are suspended
  # While a machine is suspended its steady clock stands still, and timers with it; the clock since
  # its start goes on. Whatever has an age was too young by the whole suspension, and an instance
  # that woke acted on it: entries, leases, deadlines, kept connections.

  Scenario: Time goes on while the machine is suspended
    Given a clock of a machine
    When the machine is suspended for 7000 ms
    Then 7000 ms have gone by on the clock

  Scenario Outline: What came due in a suspension happens at once
    Given a clock of a machine
    And <wait> for <ms> ms
    When the machine is suspended for 7000 ms
    And anything reads the clock
    Then it has <outcome> within 500 ms

    Examples:
      | wait                 | ms    | outcome |
      | a call that waits    | 6000  | ended   |
      | a task that sleeps   | 6000  | ended   |
      | a limit that runs    | 6000  | ended   |
      | a wait for an event  | 6000  | ended   |
      | a call that waits    | 60000 | not     |
      | a task that sleeps   | 60000 | not     |

  Scenario: What comes due later comes by the time that is left
    Given a clock of a machine
    And a call that waits for 7100 ms
    When the machine is suspended for 7000 ms
    And anything reads the clock
    Then it has ended within 500 ms

  Scenario: A call that is withdrawn is not made after a suspension
    Given a clock of a machine
    And a call that waits for 6000 ms
    When the call is withdrawn
    And the machine is suspended for 7000 ms
    And anything reads the clock
    Then it has not within 300 ms

  Scenario: An instance that was suspended does not act on what it knew before
    Given a forwarding instance on a clock of a machine, fed by a store
    When the machine is suspended for 7000 ms
    Then its catalogue is 7000 ms old
    And a route that it does not know is refused with code 2004

  Scenario: The reading of a machine that was never suspended costs little
    Given a clock of a machine
    When the clock is read 20000 times
    Then each reading took at most 20 microseconds
