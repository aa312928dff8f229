@platform
Feature: A second answer within the body of the first
  # Guards against another answer that is taken for a part of the body: a server that answers twice
  # sends both over the connection, with which the first one ends if it has no length. The server
  # that goes on with a resumable stream sends its events again, so that it is not joined.
  Scenario Outline: What a caller gets where a server sends its answer without a length twice
    Given an instance on loopback whose first server sends an answer <what> twice, <ms> ms apart
    When a caller sends that instance a <kind> request
    Then that caller gets <outcome>, after <servers> of its servers had it

    Examples:
      | what                  | ms  | kind      | outcome               | servers |
      | of plain text         | 0   | safe      | the whole body        | 2       |
      | of plain text         | 20  | safe      | the whole body        | 2       |
      | of plain text         | 200 | safe      | the whole body        | 2       |
      | of plain text         | 0   | unsafe    | status 502            | 1       |
      | of plain text         | 20  | unsafe    | status 502            | 1       |
      | of plain text         | 200 | unsafe    | status 502            | 1       |
      | of events             | 0   | stream    | status 502            | 1       |
      | of events             | 20  | stream    | a stream broken off   | 1       |
      | of events             | 200 | stream    | a stream broken off   | 1       |
      | of events without ids | 0   | stream    | status 502            | 1       |
      | of events without ids | 20  | stream    | a stream broken off   | 1       |
      | of events without ids | 200 | stream    | a stream broken off   | 1       |
      | of events             | 0   | resumable | the whole body        | 2       |
      | of events             | 20  | resumable | a stream broken off   | 2       |
      | of events             | 200 | resumable | a stream broken off   | 2       |

  # The same where the head of the second answer is divided anywhere.
  Scenario Outline: A second answer is found however it comes
    Given a body of <body> and behind it <second>
    When it is searched in pieces of <size> bytes for a second answer to r1
    Then a second answer was found <where>

    Examples: answers to the request
      | body                          | second                                   | size | where                  |
      | text                          | a second answer                          | 1    | before its head ends   |
      | text                          | a second answer                          | 7    | before its head ends   |
      | text                          | a second answer                          | 13   | before its head ends   |
      | text                          | a second answer                          | 4096 | in the last piece      |
      | nothing                       | a second answer                          | 1    | before its head ends   |
      | events                        | a second answer                          | 1    | before its head ends   |
      | 1000000 bytes without lines   | a second answer                          | 1000 | in the last piece      |
      | 20000 lines                   | a second answer                          | 1000 | in the last piece      |
      | the beginnings of heads       | a second answer                          | 5    | before its head ends   |
      | the head of an answer to zz   | a second answer                          | 3    | before its head ends   |
      | text                          | a second answer of HTTP/1.0              | 1    | before its head ends   |
      | text                          | a second answer with status 404          | 1    | before its head ends   |
      | text                          | a second answer with line feeds only     | 1    | before its head ends   |
      | text                          | a second answer without a reason         | 1    | before its head ends   |
      | text                          | a second answer with a name in capitals  | 1    | before its head ends   |
      | text                          | a second answer with 200 other headers   | 1    | before its head ends   |

    Examples: bodies that seem to hold one
      | body                          | second                                   | size | where   |
      | text                          | nothing                                  | 1    | nowhere |
      | events                        | nothing                                  | 1    | nowhere |
      | the beginnings of heads       | nothing                                  | 1    | nowhere |
      | the beginnings of heads       | nothing                                  | 4096 | nowhere |
      | text                          | an answer to zz                          | 1    | nowhere |
      | text                          | an answer to r11                         | 1    | nowhere |
      | text                          | the request                              | 1    | nowhere |
      | text                          | the id without a status                  | 1    | nowhere |
      | text                          | the id behind an empty line              | 1    | nowhere |
      | text                          | the id behind another line               | 1    | nowhere |

  # Guards against an instance that is busy with the search.
  Scenario Outline: The search costs little
    Given a body of <body> and behind it nothing
    When it is searched in pieces of 65536 bytes for a second answer to r1
    Then that took at most <ms> ms of processor time

    Examples:
      | body                             | ms   |
      | 32000000 bytes without lines     | 500  |
      | 2000000 bytes of versions        | 2000 |
      | 2000000 bytes of statuses        | 2000 |
      | 2000000 bytes of headers         | 5000 |
