@forwarding
Feature: Services that each data centre works on by itself
  # A large fleet: a data centre that is cut off loses the place where its work meets and the results
  # that lie elsewhere, and one instance takes the messages of all and the calls to some twenty
  # servers. With a handful of servers, or one a data centre, one place for all keeps calls full.
  Background:
    Given a forwarding fleet of instances a-1, a-2, b-1, b-2, c-1, c-2
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm

  Scenario Outline: Large services are divided, small ones are not
    Given <servers> stage servers of service enc in each of data centres <datacentres>
    Then every instance takes service enc to be <state>

    Examples:
      | servers | datacentres | state   |
      | 1       | a, b, c     | joined  |
      | 3       | a, b, c     | joined  |
      | 4       | a, b, c     | divided |
      | 14      | a           | divided |

  Scenario: A crash of servers does not move the work of those that stay
    Given 5 stage servers of service enc in each of data centres a, b, c
    When the last 3 stage servers of each data centre are gone
    Then every instance takes service enc to be divided
    When the last 1 stage servers of each data centre are gone
    Then every instance takes service enc to be joined

  Scenario: Pieces are made in the data centre of their request
    Given 5 stage servers of service enc in each of data centres a, b, c
    When 24 staged requests come within 600 ms over all data centres
    Then every staged request ends with status 200
    And every piece was made in the data centre of its request

  Scenario: A data centre whose servers are gone sends its pieces to others
    Given 5 stage servers of service enc in each of data centres a, b, c
    And the stage servers of data centre a are gone
    When 24 staged requests come within 600 ms over all data centres
    Then every staged request ends with status 200
    When 3000 ms go by
    Then every result was given up once
    And no batcher remembers a piece

  Scenario: A data centre that is flooded sends on what would wait long, and starves no other
    Given 5 stage servers of service enc in each of data centres a, b, c
    When 20 full calls come to enc in data centre a at once
    And a staged request is sent to b-2 at the same time
    Then some pieces of the flood were made in each data centre
    And all of the flood was made within 900 ms
    And request s0 ends with status 200 within 700 ms
    When 3000 ms go by
    Then no batcher remembers a piece

  Scenario: A data centre that is cut off goes on at once with its own servers
    Given 5 stage servers of service enc in each of data centres a, b, c
    And data centre a is cut off from the others
    When a staged request is sent to a-2 at the same time
    Then request s0 ends with status 200 within 700 ms

  Scenario: A caller leaves whose pieces wait in another data centre
    Given 5 stage servers of service enc in each of data centres a, b, c
    And the stage servers of data centre a are gone
    When 40 full calls come to enc in data centre a at once
    And 100 ms go by
    And all of them are withdrawn
    And 3000 ms go by
    Then at most 10 full calls were made
    And no batcher remembers a piece

  Scenario: Where pieces meet is known before the first request
    Given 24 further instances in data centre d
    And 1500 ms have gone by
    Then every instance has a link to where pieces of enc and prompts of llm meet

  Scenario: A link that is silent for good is given up though its peer is heard on others
    Given the links of a-2 to where pieces of llm meet are silent
    When 2500 ms go by
    Then a-2 has other links to where pieces of llm meet

  Scenario: Servers across a cut are left alone before each instance has tried them in vain
    Given 5 stage servers of service enc in each of data centres a, b, c
    And data centre a is cut off from the others
    When 1000 ms go by
    Then instances of data centre a use servers of data centre a only
    And instances of data centre b use no servers of data centre a
    When data centre a can be reached again
    And 1500 ms go by
    Then every instance uses servers of every data centre

  Scenario: A data centre one of whose instances ends is not taken to be cut off
    Given 5 stage servers of service enc in each of data centres a, b, c
    When instance c-1 ends
    And 2500 ms go by
    Then every instance uses servers of every data centre

  Scenario: An instance that was paused takes no data centre to be cut off for that
    Given 5 stage servers of service enc in each of data centres a, b, c
    When an instance where pieces of enc meet judges after a pause of 2000 ms
    Then it takes no data centre to be cut off

  Scenario Outline: Stages go where they begin much sooner, or where their bytes lie
    Given pieces wait <b> ms in data centre b and <c> ms in data centre c
    When a stage that is wanted in "<wanted>" would wait <own> ms in data centre a
    Then it goes to "<goes>"

    Examples:
      | wanted | own | b   | c   | goes |
      |        | 200 | 0   | 100 |      |
      |        | 300 | 0   | 100 | b    |
      |        | 300 | 100 | 0   | c    |
      | a      | 300 | 0   | 100 |      |
      | a      | 500 | 0   | 100 | b    |
      | c      | 0   | 0   | 100 | c    |
      | c      | 0   | 0   | 300 |      |

  Scenario: What a data centre was told of long ago sends nothing there
    Given pieces wait 0 ms in data centre b and 0 ms in data centre c
    And that was told 1100 ms ago
    When a stage that is wanted in "" would wait 900 ms in data centre a
    Then it goes to ""

  Scenario: A stage that was lent stays where it came
    Given 5 stage servers of service enc in each of data centres a, b, c
    When 60 full calls come to enc in data centre b at once
    And a stage is lent to that place while the others say that nothing waits there
    Then it waits there

  Scenario: What was left to a data centre that is cut off is moved at once
    Given 5 stage servers of service enc in each of data centres a, b, c
    When a-2 is told that data centre b is cut off
    Then a-2 takes its links to data centre b for lost
    And no work of a-2 meets in data centre b

  Scenario: A request all of whose servers are cut off is refused at once
    Given 5 stage servers of service enc in each of data centres a, b, c
    And data centre c is cut off from the others
    When 1000 ms go by
    And safe request r is sent to c-1
    Then request r is refused with 2008 after at most 1 ms, and may come back
    And no server was sent request r

  Scenario Outline: Only what all who judge say of a cut is believed, and not for long
    Given a-1 says that <first> is cut off and a-2 says that <second> is
    When <ms> ms go by for who was told
    Then <cut> is taken to be cut off

    Examples:
      | first   | second  | ms   | cut     |
      | b       | b       | 100  | b       |
      | b       | nothing | 100  | nothing |
      | b and c | c       | 100  | c       |
      | b       | b       | 1300 | nothing |
