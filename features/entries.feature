Feature: Entries of servers in the platform's list
  # Other programs may write entries too. An entry that cannot be read is skipped, and the others
  # stay in use.

  Scenario Outline: An entry that cannot be decoded is skipped
    When an entry of the bytes <bytes> is read
    Then it yields no server

    Examples:
      | bytes         |
      | \xff\xfe\x00  |
      | nothing       |
      | 17            |
      | [[[[          |
      | deeply nested |
      | {}            |
      | null          |

  Scenario Outline: An entry with an invalid field is skipped
    When a server's entry is read with <field> as <value>
    Then it yields no server

    Examples:
      | field             | value             |
      | service           | missing           |
      | service           | 7                 |
      | service           | ""                |
      | service           | "\ud800"          |
      | address           | missing           |
      | address           | 7                 |
      | address           | "10.0.0.1"        |
      | address           | "10.0.0.1:0"      |
      | address           | "10.0.0.1:99999"  |
      | address           | "desk.example:80" |
      | zone              | 3                 |
      | zone              | missing           |
      | version           | 1                 |
      | version           | missing           |
      | concurrency       | missing           |
      | concurrency       | "8"               |
      | concurrency       | true              |
      | concurrency       | 0                 |
      | concurrency       | 1e999             |
      | concurrency       | 100000            |
      | phase             | missing           |
      | phase             | 1                 |
      | phase             | "sleeping"        |
      | cold_remaining_ms | "soon"            |
      | cold_remaining_ms | missing           |
      | cold_remaining_ms | 400 digits        |
      | version           | "\ud800"          |
      | sequence          | "4"               |
      | sequence          | missing           |
      | born              | "1700000000123"   |
      | born              | 1.5               |
      | born              | null              |

  Scenario Outline: State and start time of a server are read from its entry
    When a server's entry is read with <field> as <value>
    Then it yields a server that is <state>, started at <born>

    Examples:
      | field             | value         | state    | born          |
      | born              | missing       | in use   | 0             |
      | born              | 1700000000123 | in use   | 1700000000123 |
      | phase             | "draining"    | draining | 1700000000000 |
      | cold_remaining_ms | 12.5          | in use   | 1700000000000 |
      | models            | []            | in use   | 1700000000000 |

  Scenario: A row of the store whose bytes cannot be read does not hide the others
    Given a store with four rows, the second with broken base64 and the third with a number
    When the table is read
    Then it has 4 rows, 2 of them with bytes

  Scenario: A request names its server by the id alone, without the start time
    Given a backend server that answers "whole", started at 1700000000123
    When request r1 is sent to it
    Then the expected server is given by its id alone

  Scenario Outline: A row of an instance with an invalid field does not hide the others
    Given a list of three instances, the second with <field> as <value>
    When the list of instances is read
    Then it holds the first and the third instance

    Examples:
      | field       | value   |
      | cores       | "many"  |
      | cores       | 1e999   |
      | cores       | missing |
      | peer        | 7       |
      | peer        | missing |
      | incarnation | null    |
      | datacentre  | 3       |
      | since       | "today" |
      | since       | 1e999   |
      | joined      | "today" |
      | joined      | -1      |

  Scenario Outline: The time that a server stays cold is limited to 0 to 60000 ms
    When an entry says that the server stays cold for <listed> ms
    Then its record says that it is cold for <used> ms

    Examples:
      | listed    | used  |
      | 0         | 0     |
      | -5        | 0     |
      | 2500      | 2500  |
      | 999999999 | 60000 |
