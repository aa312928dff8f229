Feature: Messages between instances stay small with a large configuration or fleet
  Scenario Outline: A catalogue is sent in slices of a bounded size
    Given a catalogue of <bytes> bytes that cannot be compressed
    When it is sent to a peer in slices
    Then no message is longer than 8400 bytes
    And the peer has the whole catalogue

    Examples:
      | bytes   |
      | 1       |
      | 8192    |
      | 27008   |
      | 350000  |
      | 2500000 |

  Scenario: Slices of two versions are never joined
    Given a catalogue of 50000 bytes that cannot be compressed
    And another catalogue of 50000 bytes
    When the first 3 slices of one are followed by the remaining slices of the other
    Then the peer has no catalogue
    When it is sent to a peer in slices
    Then the peer has the whole catalogue

  Scenario: A catalogue with a slice corrupted in transit is refused
    Given a catalogue of 50000 bytes that cannot be compressed
    When it is sent to a peer with one byte changed
    Then the peer refuses it with code 6003

  Scenario: A catalogue beyond the size limit is refused with its first slice
    Given a catalogue of 9000000 bytes that cannot be compressed
    When it is sent to a peer in slices
    Then the peer refuses it with code 6003

  Scenario: Instances that know many servers send them in small messages
    Given a list of 600 servers and 390 instances
    When a peer that knows none of them asks for them
    Then no message is longer than 16000 bytes
    And the peer knows all 600 servers

  Scenario: An interrupted transfer of the list is completed by the next
    Given a list of 600 servers and 390 instances
    When a peer that knows none of them asks for them and the link breaks after 2 messages
    And a peer that knows some of them asks for the rest
    Then the peer knows all 600 servers

  Scenario: A truncated or changed message is decoded or refused, with no other error
    Then messages of every size that are truncated or changed are decoded or refused
