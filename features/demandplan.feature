@forwarding
Feature: Data centres plan how much of their work others serve
  # Each scenario guards one decision. Without a plan, stages are sent to another data centre only
  # once a queue has formed; with a wrong one, they are sent where they wait longer than at home.

  Scenario Outline: The rate and the trend of demand
    Given callers ask for <first> pieces per second for <first s> s, then <second> for <second s> s
    Then a rate of <rate> and a trend of <trend> pieces per second are measured

    # A trend from less than 6 s would double the demand foreseen at each start of a coordinator.
    Examples:
      | first | first s | second | second s | rate | trend |
      | 100   | 8       | 100    | 1        | 100  | 0     |
      | 100   | 8       | 300    | 1        | 200  | 25    |
      | 300   | 8       | 100    | 2        | 100  | -50   |
      | 100   | 2       | 300    | 2        | 300  | 0     |
      | 100   | 8       | 0      | 3        | 0    | -25   |

  Scenario Outline: Shares bring every data centre to at most 0.9 of its capacity
    Given data centres a, b and c with demand and capacity <a>, <b> and <c>
    When plans for a are made for 20 s
    Then its shares are <to b> for b and <to c> for c

    Examples:
      | a       | b       | c      | to b  | to c  |
      | 94/100  | 10/100  | 10/100 | 0     | 0     |
      | 100/100 | 50/100  | 30/100 | 0.04  | 0.06  |
      | 100/100 | 80/100  | 50/100 | 0     | 0.10  |
      | 100/100 | 85/100  | 95/100 | 0     | 0     |
      | 120/100 | 110/100 | 70/100 | 0     | 0.10  |
      | 200/100 | 50/100  | 90/100 | 0.20  | 0     |
      | 50/0    | 10/100  | 0/0    | 1.00  | 0     |

  Scenario Outline: A data centre continues to send work until its load is below 0.8
    Given data centres a, b and c with demand and capacity 120/100, 10/100 and 10/100
    And plans for a have been made for 20 s
    When its demand is <between> for 20 s and then <demand> for 20 s
    Then it sends <sent> of its pieces

    Examples:
      | between | demand | sent   |
      | 85      | 85     | 0      |
      | 85      | 93     | 0.0323 |
      | 79      | 93     | 0      |

  Scenario: A share changes by at most 0.1 per second
    Given data centres a, b and c with demand and capacity 400/100, 10/200 and 90/100
    Then the share of b grows by at most 0.05 in each plan up to 0.4
    When the demand of a is 10
    Then the share of b shrinks by at most 0.05 in each plan down to 0

  Scenario: A process that was paused does not make up for the changes it missed
    Given data centres a, b and c with demand and capacity 400/100, 10/200 and 90/100
    And plans for a have been made for 1 s
    When the next plan is made after 9 s
    Then the share of b has grown by 0.1

  Scenario Outline: A data centre that cannot serve is sent nothing at once
    Given data centres a, b and c with demand and capacity 200/100, 10/100 and 10/100
    And plans for a have been made for 20 s
    When <event>
    Then the next plan sends nothing to b

    Examples:
      | event                     |
      | b has a capacity of 0     |
      | the reports of b stop     |

  Scenario: A plan that is older than its reader is not used
    Given data centres a, b and c with demand and capacity 200/100, 10/100 and 10/100
    And plans for a have been made for 20 s
    Then the plan has shares 2000 ms later, and none 2001 ms later

  Scenario: Plans from reports of different age do not oscillate
    # Two senders see the same data centre rise above and fall below 0.8 at different times. Without
    # the limit each would send it a quarter of its work in one plan and nothing in the next.
    Given data centres a and b at 130 of 100, and c at 0.7 and 0.85 in turn
    And the reports that reach b are 1500 ms old
    When both make plans for 20 s
    Then their shares change by at most 0.05 in each plan
    And together they never send c more than 0.25 of its capacity

  Scenario Outline: Shares are met by counting
    Given a plan that sends 0.25 of the pieces to b and 0.125 to c
    When 32 stages of <pieces> pieces come
    Then 8 of them are sent to b and 4 to c, never more than 1 in a row to each

    Examples:
      | pieces |
      | 1      |
      | 40     |

  Scenario: Stages of different sizes are sent in proportion to their pieces
    Given a plan that sends 0.25 of the pieces to b and 0.125 to c
    When 400 stages of 1 and of 39 pieces come in turn
    Then between 1900 and 2100 pieces are sent to b

  Scenario: Stages that could not be sent do not follow all at once
    Given a plan that sends 0.25 of the pieces to b and 0.125 to c
    When 100 stages that must stay come, and then 40 others
    Then at most 16 of the others are sent to b

  Scenario: Stages that were lent on current backlogs count as sent
    Given a plan that sends 0.25 of the pieces to b and 0.125 to c
    When 32 stages of 4 pieces come, each fourth lent to b on its backlog
    Then 8 of them are sent to b in all

  Scenario: Two coordinators of a data centre count with all demand and one capacity
    # Demand is that in half a second, until the next plan.
    Given two coordinators of data centre b report 40 and 30 pieces per second of 100, rising by 8
    Then data centre b counts with 78 of 100 pieces per second
    When 1500 ms go by and the second reports again
    And 600 ms more go by
    Then data centre b counts with 34 of 100 pieces per second
    When 1500 ms more go by
    Then data centre b is unknown

  Scenario Outline: The plan sends no stage to where it would begin much later than here
    Given pieces wait <b> ms in data centre b and <c> ms in data centre c
    And these waits were reported <age> ms ago
    Then the plan may send a stage that would wait <own> ms here to <names>

    # Without a recent report a data centre may be cut off, or its coordinator may have died.
    Examples:
      | own | b   | c   | age  | names   |
      | 100 | 0   | 340 | 100  | b and c |
      | 100 | 0   | 360 | 100  | b       |
      | 500 | 0   | 0   | 1100 | nothing |
      | inf | 0   | 900 | 100  | b and c |
      | inf | 0   | 900 | 1100 | nothing |

  Scenario Outline: When demand is reported
    Given demand and capacity were reported as 100 and 200 to <receivers> receivers
    When they are <demand> and <capacity>, and <elsewhere> is asked for elsewhere
    Then the next report is sent after <ms> ms

    # With 15 receivers, 80 bytes each every 500 ms would be 2.4 KB/s. An idle data centre reports
    # while others are used, else its capacity would be unknown when it is needed.
    Examples:
      | receivers | demand | capacity | elsewhere | ms   |
      | 2         | 100    | 200      | nothing   | 1500 |
      | 2         | 109    | 185      | nothing   | 1500 |
      | 2         | 112    | 200      | nothing   | 500  |
      | 2         | 100    | 0        | nothing   | 500  |
      | 15        | 200    | 200      | nothing   | 1500 |
      | 2         | 0      | 200      | nothing   | 500  |

  Scenario Outline: An idle data centre reports only while others are used
    Given demand and capacity were reported as 0 and 200 to 2 receivers
    When they are 0 and 200, and <elsewhere> is asked for elsewhere
    Then the next report is sent after <ms> ms

    Examples:
      | elsewhere | ms    |
      | something | 1500  |
      | nothing   | never |
