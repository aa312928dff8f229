Feature: Waiting for events with a timeout
  # A wait that expired left its link at the event. Each link to a peer waits for an event that is
  # only set when the link breaks, once for each heartbeat, so that memory grew for as long as the
  # link lasted.

  Scenario Outline: A wait leaves nothing behind at its event
    Given the <kind> clock
    When a task waits for an event 20 times for 1 ms each
    And another task, which waits for the event, is killed
    Then the event has no links left

    Examples:
      | kind    |
      | system  |
      | virtual |

  Scenario: An event that is set ends the waits of all tasks before their timeouts
    Given the system clock
    When 3 tasks wait for an event for 5000 ms and it is set after 10 ms
    Then all of them return within 1000 ms and report that it was set

  Scenario Outline: A call that was made or cancelled is not kept
    # The failure: whoever can cancel a call is often what it belongs to, so that both were in memory
    # until the garbage collector ran.
    Given the <kind> clock
    When a call is set in 5 ms, and then <end>
    Then only its cancellation is kept

    Examples:
      | kind    | end       |
      | system  | made      |
      | system  | cancelled |
      | virtual | made      |
      | virtual | cancelled |
