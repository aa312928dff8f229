Feature: Messages between instances arrive as they were sent
  # A field that the writer or the reader of the wire format leaves out is silently the default at
  # the other end.

  Scenario Outline: A message keeps all its fields
    When <message> is sent to a peer
    Then the peer receives the same message

    Examples:
      | message                                  |
      | a stage of a team                        |
      | the announcement of a stage that returns |
      | the release of fetched results           |
      | a placement order for a backup           |
      | a placement order with a size            |
      | a reply that servers are full            |
      | a placement reply with a backup          |
      | a note on the pace of a stream           |
      | a note on an unreachable server          |
      | a note on a rejected prompt              |
      | the notices of servers                   |
      | the refused demand                       |
      | the demand of a data centre              |
      | the speeds of servers                    |
      | the memory that results take up          |
      | the entries of servers with versions     |
      | a hello                                  |
      | the origins of streams                   |
      | the query for the origin of a stream     |
      | the reply with the origin of a stream    |
      | the reply without an origin              |
      | the suspicions of requests               |
      | the suspicions of prompt parts           |

  # Beacons are kept encoded and decoded, since most of them repeat an earlier one. A kept one must
  # never stand for another that differs in one field only.
  Scenario: Beacons that differ in one field are told apart
    When beacons that differ from each other in one field are sent to a peer twice
    Then the peer receives each of them as it was sent
    And the kept beacons stay below their limit
