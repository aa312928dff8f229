@forwarding
Feature: Backend servers that say in their answers that they leave
  # While the store could take no note of it, a server said in its answers only that it leaves.
  # Instances that had been told sent it requests for as long as its entry called it ready.
  Background:
    Given a fleet of 8 instances in data centres a, b, c
    And 2 servers of each of the services desk, llm, enc in data centres a, b, c
    And the store is silent

  Scenario Outline: A server that says so gets nothing more from whom it told
    When server <server> says that it leaves, and <rate> <kind> requests a second come for 9000 ms
    Then no instance that was told sends it what came over 2000 ms later
    And over 97 of 100 requests were answered

    Examples:
      | server | kind   | rate |
      | llm-1  | stream | 60   |
      | desk-1 | safe   | 60   |
      | desk-1 | unsafe | 60   |
      | enc-1  | staged | 30   |

  Scenario Outline: Nobody uses it once one instance was told, whatever happens to instances
    When server <server> says that it leaves, and 60 <kind> requests a second come for 9000 ms while <what>
    Then no instance sends it what came over 2000 ms after any was told
    And over <served> of 100 requests were answered

    Examples:
      | server | kind   | what                                           | served |
      | llm-1  | stream | the instance where its work meets is restarted | 90     |
      | desk-1 | safe   | the instance where its work meets is restarted | 90     |
      | enc-1  | staged | the instance where its work meets is restarted | 80     |
      | llm-1  | stream | the instance where its work meets dies         | 90     |
      | llm-1  | stream | two more instances start                       | 97     |
      | desk-1 | safe   | two more instances start                       | 97     |
      | llm-1  | stream | instances are restarted one after the other    | 80     |

  Scenario Outline: Who is cut off goes by what it was told itself
    When server <server> says that it leaves, and 60 <kind> requests a second come for 9000 ms while <what>
    Then no instance that was told sends it what came over 2000 ms later
    And over 90 of 100 requests were answered

    Examples:
      | server | kind   | what                                        |
      | llm-1  | stream | three instances are cut off from the others |
      | desk-1 | safe   | three instances are cut off from the others |
      | enc-1  | staged | three instances are cut off from the others |
      | llm-1  | stream | a data centre is cut off from the others    |

  Scenario: All instances are restarted while its entry calls it ready
    Given the store answers
    When server desk-1 says that it leaves, and 60 safe requests a second come for 9000 ms while all instances are restarted at once
    Then no instance that was told sends it what came over 2000 ms later
    And over 80 of 100 requests were answered

  Scenario: An instance that starts is told before it sends anything
    Given server desk-1 has said that it leaves
    When an instance starts while the store is out of reach
    Then it knows within 100 ms that desk-1 leaves

  Scenario Outline: Nothing brings it back
    Given server <server> has said that it leaves
    When <what>
    And 60 <kind> requests a second come for 3000 ms
    Then server <server> gets nothing

    Examples:
      | server | kind   | what                                            |
      | desk-1 | safe   | 35 s go by                                      |
      | llm-1  | stream | 35 s go by                                      |
      | enc-1  | staged | 35 s go by                                      |
      | desk-1 | safe   | the store answers, and calls it ready           |
      | llm-1  | stream | the store comes back older, and calls it ready  |
      | desk-1 | safe   | its entry lapses, and is back                   |
      | desk-1 | safe   | a later answer does not say so                  |

  Scenario: A server that starts again under its id is used
    Given the store answers
    And server desk-1 has said that it leaves
    When server desk-1 starts again, and 60 safe requests a second come for 3000 ms
    Then server desk-1 gets over 10 requests

  Scenario Outline: For how long it is remembered
    Given an instance
    When <which> server says that it leaves, and 11 minutes later another one
    Then <known> of them are known to leave

    Examples:
      | which        | known |
      | a listed     | 2     |
      | a removed    | 1     |

  Scenario: All servers of a service leave
    # They serve on for some time, in which new ones may come; then nobody waits in vain.
    When all desk servers say that they leave, and 30 safe requests a second come for 4000 ms
    Then all that came in the first 900 ms were answered
    And all that came after 1500 ms were refused within 5 ms, and told when to come back
    And no instance that was told sends them what came over 2000 ms later

  Scenario: A new server comes after all of a service have left
    Given the store answers
    When all desk servers say that they leave, and 30 safe requests a second come for 2000 ms
    And server desk-new is listed, and 30 safe requests a second come for 1000 ms
    Then all that came then were answered

  Scenario: Requests whose model servers all leave are refused before their stages run
    Given all llm servers have said that they leave
    When 10 staged requests come one after the other, 1500 ms later
    Then each was refused as not run, and no piece was made

  Scenario: A server that leaves while a request waits for its turn there
    Given all desk servers have named 1 request a second
    When a request waits for its turn, and its server leaves
    Then it reaches another server only

  Scenario: Results at a server that leaves are left to lapse
    Given server enc-1 has said that it leaves
    When results at enc-0 and enc-1 are given up
    Then only enc-0 is asked to drop any

  Scenario: Kept parts of prompts at a server that leaves are read again elsewhere
    Given server llm-1 has said that it leaves
    When 60 stream requests a second come for 2000 ms
    Then no prompt is fetched from llm-1

  Scenario: That servers leave is told on and on over slow links, and no longer
    Given 5 instances in a ring, with links of 250 ms
    When one is told that a server leaves, and 600 ms later another one
    Then after 3000 ms all of them know that it leaves, and no message is under way

  Scenario: Listed servers that leave are all remembered
    Given an instance
    When 1100 listed servers say that they leave, one each 10 ms, and 1100 that are not listed
    Then it remembers those that are listed, and 1024 in all at least
