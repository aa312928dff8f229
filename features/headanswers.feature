@platform
Feature: Answers that have no body
  # Guards against a length that claims something of a body that the server did not say: each answer
  # without a body, to HEAD or with status 204 or 304, came with a length of 0. The answer to HEAD has
  # the length that the body would have, if the server gives it; one with status 204 has none.
  Scenario Outline: An answer without a body has the length that its server gives, or none
    Given an instance on loopback whose servers send the head of an answer with status <status> and <framing>
    When a caller of HTTP/<version> sends two <method> requests over a connection
    Then it gets two heads with status <status> and <length>, and nothing else

    Examples:
      | method | version | status | framing             | length        |
      | HEAD   | 1.1     | 200    | a length of 2500    | a length of 2500 |
      | HEAD   | 1.1     | 200    | a length of 0       | a length of 0 |
      | HEAD   | 1.1     | 404    | a length of 7       | a length of 7 |
      | HEAD   | 1.1     | 200    | chunks              | no length     |
      | HEAD   | 1.1     | 200    | no framing          | no length     |
      | HEAD   | 1.1     | 200    | a length of 5x      | no length     |
      | HEAD   | 1.1     | 204    | a length of 0       | no length     |
      | HEAD   | 1.1     | 304    | a length of 2500    | a length of 2500 |
      | HEAD   | 1.0     | 200    | a length of 2500    | a length of 2500 |
      | HEAD   | 1.0     | 200    | no framing          | no length     |
      | POST   | 1.1     | 204    | no framing          | no length     |
      | POST   | 1.1     | 204    | a length of 0       | no length     |
      | POST   | 1.1     | 204    | a length of 5       | no length     |
      | POST   | 1.1     | 204    | chunks              | no length     |
      | POST   | 1.1     | 304    | no framing          | no length     |
      | POST   | 1.1     | 304    | a length of 2500    | a length of 2500 |
      | POST   | 1.0     | 204    | a length of 0       | no length     |
      | POST   | 1.0     | 304    | no framing          | no length     |

  # The same over a relay: the instance that relays takes the other one's answer for the server's.
  Scenario Outline: A relayed answer without a body has the length that its server gives, or none
    Given an instance on loopback whose servers send the head of an answer with status <status> and <framing>
    When a <method> request is relayed to it by another instance, whose caller gets the answer
    Then it gets one head with status <status> and <length>, and nothing else

    Examples:
      | method | status | framing          | length           |
      | HEAD   | 200    | a length of 2500 | a length of 2500 |
      | HEAD   | 200    | no framing       | no length        |
      | POST   | 204    | a length of 0    | no length        |
      | POST   | 304    | a length of 2500 | a length of 2500 |
