Feature: Messages between instances stay small however large the configuration is
  Scenario Outline: A catalogue travels in parts of a bounded size
    Given a catalogue of <bytes> bytes that cannot be compressed
    When it travels to a peer in parts
    Then no message is longer than 8400 bytes
    And the peer has the whole catalogue

    Examples:
      | bytes   |
      | 1       |
      | 8192    |
      | 27008   |
      | 350000  |
      | 2500000 |

  Scenario: The parts of two versions are never joined
    Given a catalogue of 50000 bytes that cannot be compressed
    And another one of 50000 bytes
    When the first 3 parts of one are followed by the others of the next
    Then the peer has no catalogue
    When it travels to a peer in parts
    Then the peer has the whole catalogue

  Scenario: A part that was changed on the way is refused
    Given a catalogue of 50000 bytes that cannot be compressed
    When it travels to a peer with one byte changed
    Then the peer refuses it with code 6003

  Scenario: A catalogue beyond the bound is refused with its first part
    Given a catalogue of 9000000 bytes that cannot be compressed
    When it travels to a peer in parts
    Then the peer refuses it with code 6003

  Scenario: Instances that know many servers tell of them in small messages
    Given a list of 600 servers and 390 instances
    When a peer that knows none of them asks for them
    Then no message is longer than 16000 bytes
    And the peer knows all 600 servers

  Scenario: A transfer of the list that breaks off is made good by the next
    Given a list of 600 servers and 390 instances
    When a peer that knows none of them asks for them and the link breaks after 2 messages
    And a peer that knows some of them asks for the rest
    Then the peer knows all 600 servers

  Scenario: Any message that is cut or changed is read or refused
    Then messages of every size that are cut or changed are read or refused
