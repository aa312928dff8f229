@forwarding
Feature: How instances learn the catalogue, the list of servers and each other
  Background:
    Given a forwarding fleet of instances a-1, a-2, b-1
    And servers desk-1, desk-2 of service desk and llm-1, llm-2 of service llm

  Scenario: A new catalogue is in force on every instance within 300 ms
    When catalogue version 2 is written
    And 300 ms go by
    Then every instance has catalogue version 2

  Scenario: An instance that the store refuses gets a new catalogue from a peer
    Given the store is down for a-1
    When catalogue version 2 is written
    And 800 ms go by
    Then every instance has catalogue version 2

  Scenario: An instance whose change feeds silently deliver nothing gets changes from its peers
    Given the change feeds of a-1 stop delivering
    When catalogue version 2 is written
    And server desk-1 is listed as draining
    And 900 ms go by
    Then every instance has catalogue version 2
    And instance a-1 knows servers desk-2

  Scenario Outline: An older catalogue never replaces a newer one, whatever its source
    When catalogue version 5 is written
    And 300 ms go by
    And an older catalogue 3 reaches a-1 <way>
    Then every instance has catalogue version 5
    When 1000 ms go by
    Then every instance has catalogue version 5

    Examples:
      | way                            |
      | from a peer                    |
      | from the store                 |
      | after the store lost its history |

  Scenario: The mutation that adopts older catalogues is detected
    Given the code is mutated to adopt any catalogue
    When catalogue version 5 is written
    And 300 ms go by
    And an older catalogue 3 reaches a-1 from a peer
    Then instance a-1 has catalogue version 3

  Scenario: A malformed catalogue changes nothing
    When the bytes "nonsense" are written as the catalogue
    And 300 ms go by
    Then every instance has catalogue version 1

  Scenario: A draining server gets no new requests
    When server desk-1 is listed as draining
    And 100 ms go by
    And 10 safe requests are sent to each instance within 500 ms
    Then no request went to desk-1

  Scenario: A removed server gets no new requests after a second
    When server desk-1 is removed from the list
    And 1100 ms go by
    And 10 safe requests are sent to each instance within 500 ms
    Then no request went to desk-1

  Scenario: A removed entry is kept for a second, as it may have expired in an unnoticed outage
    When server desk-1 is removed from the list
    And 900 ms go by
    Then instance a-1 knows servers desk-1, desk-2
    When server desk-1 is listed again
    And 3000 ms go by
    Then instance a-1 knows servers desk-1, desk-2

  Scenario: Entries that expired while the store was down are kept until they are listed again
    Given the store is down
    When 3000 ms go by
    And server desk-1 is removed from the list
    And 500 ms go by
    And the store is up again
    And 1900 ms go by
    Then instance a-1 knows servers desk-1, desk-2
    When server desk-1 is listed again
    And 3000 ms go by
    Then instance a-1 knows servers desk-1, desk-2

  Scenario: An entry that a peer reports as removed during the outage is kept for 2 s
    Given the store is down
    When 3000 ms go by
    And a copy reaches a-1 from a peer that reached the store again and saw desk-1 removed
    Then instance a-1 knows servers desk-1, desk-2
    When 2500 ms go by
    Then instance a-1 knows servers desk-2

  Scenario: An entry that is missing two seconds after the store is up again is removed
    Given the store is down
    When 3000 ms go by
    And server desk-1 is removed from the list
    And the store is up again
    And 4000 ms go by
    Then instance a-1 knows servers desk-2

  Scenario: An older copy of the list from a peer does not bring a server back
    When server desk-1 is removed from the list
    And 1100 ms go by
    And an older copy of the list reaches a-1
    Then instance a-1 knows servers desk-2

  Scenario: Changes that are missing from the store's history are found by a full read
    Given instance a-1 misses that server desk-1 is removed while the store loses its history
    When 6000 ms go by
    Then instance a-1 knows servers desk-2

  Scenario: The retry reserve is divided among all instances that may use it
    When 11000 ms go by
    Then each instance's share of the retry reserve of 20 is at most 6.7
    And an instance that knows no others uses at most 1.25 of it

  Scenario: A large fleet that starts at once does not send its list of instances over every link
    # Sent over every link, the list took 177 MB and 40 s of processor time with 195 instances of
    # 50 links each.
    Given messages between instances are counted
    And 40 further instances in data centre c
    And 2000 ms have gone by
    Then the list of instances was sent at most 120 times

  Scenario: An instance that cannot read the platform's list at its start learns all from its seed
    Given 14 further instances in data centre c
    And 2000 ms have gone by
    And the platform's list of instances cannot be read
    When instance c-new starts with one seed, a-1
    And 3000 ms go by
    Then c-new knows every other instance

  Scenario: Instances that are only in the platform's list become known in the data centre
    Given 14 further instances in data centre c
    And 2000 ms have gone by
    And the platform's list has an instance d-1 that no instance knows
    When 21000 ms go by
    Then every instance of data centre c knows d-1
