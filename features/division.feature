@forwarding
Feature: Services divided into one coordinator for each data centre
  # In a large fleet a single coordinator of a service is a risk: a data centre that is cut off from
  # the others loses the coordinator and the results stored elsewhere, and one instance handles the
  # messages of all and the calls to about twenty servers. With a handful of servers, or one in each
  # data centre, a single coordinator for all keeps calls full.
  Background:
    Given a forwarding fleet of instances a-1, a-2, b-1, b-2, c-1, c-2
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm

  Scenario Outline: Large services are divided, small ones are not
    Given <servers> stage servers of service enc in each of data centres <datacentres>
    Then every instance considers service enc <state>

    Examples:
      | servers | datacentres | state   |
      | 1       | a, b, c     | joined  |
      | 3       | a, b, c     | joined  |
      | 4       | a, b, c     | divided |
      | 14      | a           | divided |

  Scenario: The loss of some servers does not change the division of a service
    Given 5 stage servers of service enc in each of data centres a, b, c
    When the last 3 stage servers of each data centre are gone
    Then every instance considers service enc divided
    When the last 1 stage servers of each data centre are gone
    Then every instance considers service enc joined

  Scenario: Pieces run in the data centre of their request
    Given 5 stage servers of service enc in each of data centres a, b, c
    When 24 staged requests come within 600 ms over all data centres
    Then every staged request ends with status 200
    And every piece ran in the data centre of its request

  Scenario: A data centre without stage servers sends its pieces to others
    Given 5 stage servers of service enc in each of data centres a, b, c
    And the stage servers of data centre a are gone
    When 24 staged requests come within 600 ms over all data centres
    Then every staged request ends with status 200
    When 3000 ms go by
    Then every result was released once
    And no batcher holds a piece or a result

  Scenario: An overloaded data centre lends pieces that would wait long, and starves no other
    Given 5 stage servers of service enc in each of data centres a, b, c
    When 20 full calls for enc are submitted in data centre a at once
    And a staged request is sent to b-2 at the same time
    Then some pieces of these calls ran in each data centre
    And all of these calls were completed within 900 ms
    And request s0 ends with status 200 within 700 ms
    When 3000 ms go by
    Then no batcher holds a piece or a result

  Scenario: A data centre that is cut off continues at once with its own servers
    Given 5 stage servers of service enc in each of data centres a, b, c
    And data centre a is cut off from the others
    When a staged request is sent to a-2 at the same time
    Then request s0 ends with status 200 within 700 ms

  Scenario: Pieces lent to another data centre are withdrawn when their caller leaves
    Given 5 stage servers of service enc in each of data centres a, b, c
    And the stage servers of data centre a are gone
    When 40 full calls for enc are submitted in data centre a at once
    And 100 ms go by
    And all of these calls are withdrawn
    And 3000 ms go by
    Then at most 10 full calls ran
    And no batcher holds a piece or a result

  Scenario: Links to the coordinators exist before the first request
    Given 24 further instances in data centre d
    And 1500 ms have gone by
    Then every instance has links to the coordinators of service enc and of prompts for llm

  Scenario: A silent link is replaced although its peer still answers on others
    Given the links of a-2 to the coordinators of prompts for llm are silent
    When 2500 ms go by
    Then a-2 has other links to the coordinators of prompts for llm

  Scenario: Servers across a partition are avoided before each instance has failed to reach them
    Given 5 stage servers of service enc in each of data centres a, b, c
    And data centre a is cut off from the others
    When 1000 ms go by
    Then instances of data centre a use servers of data centre a only
    And instances of data centre b use no servers of data centre a
    When data centre a can be reached again
    And 1500 ms go by
    Then every instance uses servers of every data centre

  Scenario: A data centre with one stopped instance is not considered unreachable
    Given 5 stage servers of service enc in each of data centres a, b, c
    When instance c-1 stops
    And 2500 ms go by
    Then every instance uses servers of every data centre

  Scenario: An instance that was paused does not consider data centres unreachable for that
    Given 5 stage servers of service enc in each of data centres a, b, c
    When a coordinator of service enc checks for partitions after a pause of 2000 ms
    Then it considers no data centre unreachable

  Scenario Outline: Stages are lent to where they begin much sooner, or to the data centre of their inputs
    Given pieces wait <b> ms in data centre b and <c> ms in data centre c
    When a stage that prefers data centre "<preferred>" would wait <own> ms in data centre a
    Then the stage is lent to "<lent to>"

    Examples:
      | preferred | own | b   | c   | lent to |
      |           | 200 | 0   | 100 |         |
      |           | 300 | 0   | 100 | b       |
      |           | 300 | 100 | 0   | c       |
      | a         | 300 | 0   | 100 |         |
      | a         | 500 | 0   | 100 | b       |
      | c         | 0   | 0   | 100 | c       |
      | c         | 0   | 0   | 300 |         |

  Scenario: An expired report of backlogs lends no stages
    Given pieces wait 0 ms in data centre b and 0 ms in data centre c
    And these waits were reported 1100 ms ago
    When a stage that prefers data centre "" would wait 900 ms in data centre a
    Then the stage is lent to ""

  Scenario: A lent stage is not lent again
    Given 5 stage servers of service enc in each of data centres a, b, c
    When 60 full calls for enc are submitted in data centre b at once
    And a stage is lent to that coordinator while the others report no backlog
    Then the stage waits there

  Scenario: Work assigned to an unreachable data centre is reassigned at once
    Given 5 stage servers of service enc in each of data centres a, b, c
    When a-2 receives reports that data centre b is unreachable
    Then a-2 treats its links to data centre b as lost
    And no coordinator that a-2 uses is in data centre b

  Scenario: A request whose servers are all unreachable is refused at once
    Given 5 stage servers of service enc in each of data centres a, b, c
    And data centre c is cut off from the others
    When 1000 ms go by
    And safe request r is sent to c-1
    Then request r is refused with 2008 after at most 1 ms, with a time to retry
    And no server was sent request r

  Scenario Outline: A partition counts only while all reports agree, and reports expire
    Given a-1 reports <first> unreachable and a-2 reports <second> unreachable
    When <ms> ms go by at the receiver
    Then <unreachable> is considered unreachable

    Examples:
      | first   | second  | ms   | unreachable |
      | b       | b       | 100  | b           |
      | b       | nothing | 100  | nothing     |
      | b and c | c       | 100  | c           |
      | b       | b       | 1300 | nothing     |
