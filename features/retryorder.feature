Feature: The place of retries among requests that cannot be on time
  # The failure: a caller that returned when it was told to was behind first attempts that could not
  # be on time either, and was refused again, which costs it more than one refusal.

  Scenario Outline: Among pieces that cannot be on time, callers that returned as told go first
    # The failure: a caller that was told when to return was refused again, or its pieces waited
    # behind those of requests that had just arrived. Callers that ignore the time gain nothing.
    Given pieces that are late, of <first> of rank <rank> and of <second> of rank <other>
    And pieces of rank 5 of a first attempt that can be on time
    When the calls are filled in their order
    Then those that can be on time go first, then those of the <first>, then those of the <second>

    Examples:
      | first         | rank | second                           | other |
      | return        | 2    | first attempt                    | 0     |
      | return        | 0    | return                           | 2     |
      | first attempt | 2    | retry sooner than it was told to | 0     |
      | return        | 5    | retry sooner than it was told to | 0     |

  Scenario Outline: Expected waits agree with that order
    Given a service that makes 0.04 pieces a millisecond
    When 4 pieces of rank 1 can be on time, and 8 of a <kind> that <are> cannot
    Then a return, a first attempt and an early retry are expected to wait <return>, <first> and <early> ms

    Examples:
      | kind                             | are            | return | first | early |
      | return                           | wait           | 300    | 300   | 300   |
      | first attempt                    | wait           | 100    | 300   | 300   |
      | retry sooner than it was told to | wait           | 100    | 100   | 300   |
      | return                           | were announced | 300    | 300   | 300   |
      | first attempt                    | were announced | 100    | 300   | 300   |
      | retry sooner than it was told to | were announced | 100    | 100   | 300   |

  Scenario Outline: A retry is recognised by its age
    When the first attempt of a request was <age> ms ago
    Then it is a <kind>

    Examples:
      | age | kind                             |
      | 0   | first attempt                    |
      | 200 | retry sooner than it was told to |
      | 799 | retry sooner than it was told to |
      | 800 | return                           |
