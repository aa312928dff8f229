@platform
Feature: How answers are framed, and how their connections end
  # Guards against a part of an answer that is taken for the whole one. An answer with neither a
  # length nor chunks ends with its connection, as does one that its server breaks off; a reset shows
  # that it was broken off, also one that follows the end of the stream. Each answer is broken off
  # within its body, or is whole with a second answer behind it.

  # A status acknowledges that results are given up; the body is not read for more. A part of JSON is
  # none, and neither is JSON with more behind it.
  Scenario Outline: What a server answers to the platform's own calls
    Given a server whose first answer has <framing>, to <call>, and ends with <how>
    When that call is made twice
    Then the first one gives <outcome>
    And the second one gives its own answer

    Examples:
      | call                     | framing  | how                         | outcome                 |
      | a call with pieces       | a length | end of stream               | code 3003, may have run |
      | a call with pieces       | a length | end of stream after a pause | code 3003, may have run |
      | a call with pieces       | a length | reset                       | code 3003, may have run |
      | a call with pieces       | a length | end of stream, then a reset | code 3003, may have run |
      | a call with pieces       | a length | a second answer             | its answer              |
      | a call with pieces       | a length | a late second answer        | its answer              |
      | a call with pieces       | chunks   | end of stream               | code 3003, may have run |
      | a call with pieces       | chunks   | end of stream after a pause | code 3003, may have run |
      | a call with pieces       | chunks   | reset                       | code 3003, may have run |
      | a call with pieces       | chunks   | end of stream, then a reset | code 3003, may have run |
      | a call with pieces       | chunks   | a second answer             | its answer              |
      | a call with pieces       | chunks   | a late second answer        | its answer              |
      | a call with pieces       | neither  | end of stream               | code 3004, may have run |
      | a call with pieces       | neither  | end of stream after a pause | code 3004, may have run |
      | a call with pieces       | neither  | reset                       | code 3003, may have run |
      | a call with pieces       | neither  | end of stream, then a reset | code 3003, may have run |
      | a call with pieces       | neither  | a second answer             | code 3004, may have run |
      | a call with pieces       | neither  | a late second answer        | code 3004, may have run |
      | giving up results        | a length | end of stream               | nothing                 |
      | giving up results        | a length | end of stream after a pause | nothing                 |
      | giving up results        | a length | reset                       | nothing                 |
      | giving up results        | a length | end of stream, then a reset | nothing                 |
      | giving up results        | a length | a second answer             | its answer              |
      | giving up results        | a length | a late second answer        | its answer              |
      | giving up results        | chunks   | end of stream               | nothing                 |
      | giving up results        | chunks   | end of stream after a pause | nothing                 |
      | giving up results        | chunks   | reset                       | nothing                 |
      | giving up results        | chunks   | end of stream, then a reset | nothing                 |
      | giving up results        | chunks   | a second answer             | its answer              |
      | giving up results        | chunks   | a late second answer        | its answer              |
      | giving up results        | neither  | end of stream               | its answer              |
      | giving up results        | neither  | end of stream after a pause | its answer              |
      | giving up results        | neither  | reset                       | nothing                 |
      | giving up results        | neither  | end of stream, then a reset | nothing                 |
      | giving up results        | neither  | a second answer             | its answer              |
      | giving up results        | neither  | a late second answer        | its answer              |
      | freeing a copy           | a length | end of stream               | nothing                 |
      | freeing a copy           | a length | end of stream after a pause | nothing                 |
      | freeing a copy           | a length | reset                       | nothing                 |
      | freeing a copy           | a length | end of stream, then a reset | nothing                 |
      | freeing a copy           | a length | a second answer             | its answer              |
      | freeing a copy           | a length | a late second answer        | its answer              |
      | freeing a copy           | chunks   | end of stream               | nothing                 |
      | freeing a copy           | chunks   | end of stream after a pause | nothing                 |
      | freeing a copy           | chunks   | reset                       | nothing                 |
      | freeing a copy           | chunks   | end of stream, then a reset | nothing                 |
      | freeing a copy           | chunks   | a second answer             | its answer              |
      | freeing a copy           | chunks   | a late second answer        | its answer              |
      | freeing a copy           | neither  | end of stream               | its answer              |
      | freeing a copy           | neither  | end of stream after a pause | its answer              |
      | freeing a copy           | neither  | reset                       | nothing                 |
      | freeing a copy           | neither  | end of stream, then a reset | nothing                 |
      | freeing a copy           | neither  | a second answer             | its answer              |
      | freeing a copy           | neither  | a late second answer        | its answer              |
      | a health check           | a length | end of stream               | nothing                 |
      | a health check           | a length | end of stream after a pause | nothing                 |
      | a health check           | a length | reset                       | nothing                 |
      | a health check           | a length | end of stream, then a reset | nothing                 |
      | a health check           | a length | a second answer             | its answer              |
      | a health check           | a length | a late second answer        | its answer              |
      | a health check           | chunks   | end of stream               | nothing                 |
      | a health check           | chunks   | end of stream after a pause | nothing                 |
      | a health check           | chunks   | reset                       | nothing                 |
      | a health check           | chunks   | end of stream, then a reset | nothing                 |
      | a health check           | chunks   | a second answer             | its answer              |
      | a health check           | chunks   | a late second answer        | its answer              |
      | a health check           | neither  | end of stream               | its answer              |
      | a health check           | neither  | end of stream after a pause | its answer              |
      | a health check           | neither  | reset                       | nothing                 |
      | a health check           | neither  | end of stream, then a reset | nothing                 |
      | a health check           | neither  | a second answer             | its answer              |
      | a health check           | neither  | a late second answer        | its answer              |
      | a question for its start | a length | end of stream               | nothing                 |
      | a question for its start | a length | end of stream after a pause | nothing                 |
      | a question for its start | a length | reset                       | nothing                 |
      | a question for its start | a length | end of stream, then a reset | nothing                 |
      | a question for its start | a length | a second answer             | its answer              |
      | a question for its start | a length | a late second answer        | its answer              |
      | a question for its start | chunks   | end of stream               | nothing                 |
      | a question for its start | chunks   | end of stream after a pause | nothing                 |
      | a question for its start | chunks   | reset                       | nothing                 |
      | a question for its start | chunks   | end of stream, then a reset | nothing                 |
      | a question for its start | chunks   | a second answer             | its answer              |
      | a question for its start | chunks   | a late second answer        | its answer              |
      | a question for its start | neither  | end of stream               | nothing                 |
      | a question for its start | neither  | end of stream after a pause | nothing                 |
      | a question for its start | neither  | reset                       | nothing                 |
      | a question for its start | neither  | end of stream, then a reset | nothing                 |
      | a question for its start | neither  | a second answer             | nothing                 |
      | a question for its start | neither  | a late second answer        | nothing                 |

  Scenario Outline: What the platform's store answers
    Given a server whose first answer has <framing>, to <call>, and ends with <how>
    When that call is made twice
    Then the first one gives <outcome>
    And the second one gives its own answer

    Examples:
      | call             | framing  | how                         | outcome    |
      | reading a table  | a length | end of stream               | code 5001  |
      | reading a table  | a length | end of stream after a pause | code 5001  |
      | reading a table  | a length | reset                       | code 5001  |
      | reading a table  | a length | end of stream, then a reset | code 5001  |
      | reading a table  | a length | a second answer             | its answer |
      | reading a table  | a length | a late second answer        | its answer |
      | reading a table  | chunks   | end of stream               | code 5001  |
      | reading a table  | chunks   | end of stream after a pause | code 5001  |
      | reading a table  | chunks   | reset                       | code 5001  |
      | reading a table  | chunks   | end of stream, then a reset | code 5001  |
      | reading a table  | chunks   | a second answer             | its answer |
      | reading a table  | chunks   | a late second answer        | its answer |
      | reading a table  | neither  | end of stream               | code 5004  |
      | reading a table  | neither  | end of stream after a pause | code 5004  |
      | reading a table  | neither  | reset                       | code 5001  |
      | reading a table  | neither  | end of stream, then a reset | code 5001  |
      | reading a table  | neither  | a second answer             | code 5004  |
      | reading a table  | neither  | a late second answer        | code 5004  |
      | reading changes  | a length | end of stream               | code 5001  |
      | reading changes  | a length | end of stream after a pause | code 5001  |
      | reading changes  | a length | reset                       | code 5001  |
      | reading changes  | a length | end of stream, then a reset | code 5001  |
      | reading changes  | a length | a second answer             | its answer |
      | reading changes  | a length | a late second answer        | its answer |
      | reading changes  | chunks   | end of stream               | code 5001  |
      | reading changes  | chunks   | end of stream after a pause | code 5001  |
      | reading changes  | chunks   | reset                       | code 5001  |
      | reading changes  | chunks   | end of stream, then a reset | code 5001  |
      | reading changes  | chunks   | a second answer             | its answer |
      | reading changes  | chunks   | a late second answer        | its answer |
      | reading changes  | neither  | end of stream               | code 5004  |
      | reading changes  | neither  | end of stream after a pause | code 5004  |
      | reading changes  | neither  | reset                       | code 5001  |
      | reading changes  | neither  | end of stream, then a reset | code 5001  |
      | reading changes  | neither  | a second answer             | code 5004  |
      | reading changes  | neither  | a late second answer        | code 5004  |
      | a change of rows | a length | end of stream               | code 5002  |
      | a change of rows | a length | end of stream after a pause | code 5002  |
      | a change of rows | a length | reset                       | code 5002  |
      | a change of rows | a length | end of stream, then a reset | code 5002  |
      | a change of rows | a length | a second answer             | its answer |
      | a change of rows | a length | a late second answer        | its answer |
      | a change of rows | chunks   | end of stream               | code 5002  |
      | a change of rows | chunks   | end of stream after a pause | code 5002  |
      | a change of rows | chunks   | reset                       | code 5002  |
      | a change of rows | chunks   | end of stream, then a reset | code 5002  |
      | a change of rows | chunks   | a second answer             | its answer |
      | a change of rows | chunks   | a late second answer        | its answer |
      | a change of rows | neither  | end of stream               | its answer |
      | a change of rows | neither  | end of stream after a pause | its answer |
      | a change of rows | neither  | reset                       | code 5002  |
      | a change of rows | neither  | end of stream, then a reset | code 5002  |
      | a change of rows | neither  | a second answer             | its answer |
      | a change of rows | neither  | a late second answer        | its answer |

  Scenario Outline: What another instance answers to a relayed request
    Given a server whose first answer has <framing>, to <call>, and ends with <how>
    When that call is made twice
    Then the first one gives <outcome>
    And the second one gives its own answer

    Examples:
      | call              | framing  | how                         | outcome                            |
      | a relayed request | a length | end of stream               | code 3003, may have run            |
      | a relayed request | a length | end of stream after a pause | code 3003, may have run            |
      | a relayed request | a length | reset                       | code 3003, may have run            |
      | a relayed request | a length | end of stream, then a reset | code 3003, may have run            |
      | a relayed request | a length | a second answer             | its answer                         |
      | a relayed request | a length | a late second answer        | its answer                         |
      | a relayed request | chunks   | end of stream               | code 3003, may have run            |
      | a relayed request | chunks   | end of stream after a pause | code 3003, may have run            |
      | a relayed request | chunks   | reset                       | code 3003, may have run            |
      | a relayed request | chunks   | end of stream, then a reset | code 3003, may have run            |
      | a relayed request | chunks   | a second answer             | its answer                         |
      | a relayed request | chunks   | a late second answer        | its answer                         |
      | a relayed request | neither  | end of stream               | a part without a claim             |
      | a relayed request | neither  | end of stream after a pause | a part without a claim             |
      | a relayed request | neither  | reset                       | code 3003, may have run            |
      | a relayed request | neither  | end of stream, then a reset | code 3003, may have run            |
      | a relayed request | neither  | a second answer             | more than its body without a claim |
      | a relayed request | neither  | a late second answer        | more than its body without a claim |

  # Nothing but a length or chunks shows that an object is whole. A transaction whose answer cannot be
  # read may have taken effect.
  Scenario Outline: What the services of the product's own interface answer
    Given a server whose first answer has <framing>, to <call>, and ends with <how>
    When that call is made twice
    Then the first one gives <outcome>
    And the second one gives its own answer

    Examples:
      | call                          | framing  | how                         | outcome    |
      | reading a row                 | a length | end of stream               | code 5001  |
      | reading a row                 | a length | end of stream after a pause | code 5001  |
      | reading a row                 | a length | reset                       | code 5001  |
      | reading a row                 | a length | end of stream, then a reset | code 5001  |
      | reading a row                 | a length | a second answer             | its answer |
      | reading a row                 | a length | a late second answer        | its answer |
      | reading a row                 | chunks   | end of stream               | code 5001  |
      | reading a row                 | chunks   | end of stream after a pause | code 5001  |
      | reading a row                 | chunks   | reset                       | code 5001  |
      | reading a row                 | chunks   | end of stream, then a reset | code 5001  |
      | reading a row                 | chunks   | a second answer             | its answer |
      | reading a row                 | chunks   | a late second answer        | its answer |
      | reading a row                 | neither  | end of stream               | code 5004  |
      | reading a row                 | neither  | end of stream after a pause | code 5004  |
      | reading a row                 | neither  | reset                       | code 5001  |
      | reading a row                 | neither  | end of stream, then a reset | code 5001  |
      | reading a row                 | neither  | a second answer             | code 5004  |
      | reading a row                 | neither  | a late second answer        | code 5004  |
      | reading rows                  | a length | end of stream               | code 5001  |
      | reading rows                  | a length | end of stream after a pause | code 5001  |
      | reading rows                  | a length | reset                       | code 5001  |
      | reading rows                  | a length | end of stream, then a reset | code 5001  |
      | reading rows                  | a length | a second answer             | its answer |
      | reading rows                  | a length | a late second answer        | its answer |
      | reading rows                  | chunks   | end of stream               | code 5001  |
      | reading rows                  | chunks   | end of stream after a pause | code 5001  |
      | reading rows                  | chunks   | reset                       | code 5001  |
      | reading rows                  | chunks   | end of stream, then a reset | code 5001  |
      | reading rows                  | chunks   | a second answer             | its answer |
      | reading rows                  | chunks   | a late second answer        | its answer |
      | reading rows                  | neither  | end of stream               | code 5004  |
      | reading rows                  | neither  | end of stream after a pause | code 5004  |
      | reading rows                  | neither  | reset                       | code 5001  |
      | reading rows                  | neither  | end of stream, then a reset | code 5001  |
      | reading rows                  | neither  | a second answer             | code 5004  |
      | reading rows                  | neither  | a late second answer        | code 5004  |
      | a transaction                 | a length | end of stream               | code 5002  |
      | a transaction                 | a length | end of stream after a pause | code 5002  |
      | a transaction                 | a length | reset                       | code 5002  |
      | a transaction                 | a length | end of stream, then a reset | code 5002  |
      | a transaction                 | a length | a second answer             | its answer |
      | a transaction                 | a length | a late second answer        | its answer |
      | a transaction                 | chunks   | end of stream               | code 5002  |
      | a transaction                 | chunks   | end of stream after a pause | code 5002  |
      | a transaction                 | chunks   | reset                       | code 5002  |
      | a transaction                 | chunks   | end of stream, then a reset | code 5002  |
      | a transaction                 | chunks   | a second answer             | its answer |
      | a transaction                 | chunks   | a late second answer        | its answer |
      | a transaction                 | neither  | end of stream               | code 5002  |
      | a transaction                 | neither  | end of stream after a pause | code 5002  |
      | a transaction                 | neither  | reset                       | code 5002  |
      | a transaction                 | neither  | end of stream, then a reset | code 5002  |
      | a transaction                 | neither  | a second answer             | code 5002  |
      | a transaction                 | neither  | a late second answer        | code 5002  |
      | reading an object             | a length | end of stream               | code 5001  |
      | reading an object             | a length | end of stream after a pause | code 5001  |
      | reading an object             | a length | reset                       | code 5001  |
      | reading an object             | a length | end of stream, then a reset | code 5001  |
      | reading an object             | a length | a second answer             | its answer |
      | reading an object             | a length | a late second answer        | its answer |
      | reading an object             | chunks   | end of stream               | code 5001  |
      | reading an object             | chunks   | end of stream after a pause | code 5001  |
      | reading an object             | chunks   | reset                       | code 5001  |
      | reading an object             | chunks   | end of stream, then a reset | code 5001  |
      | reading an object             | chunks   | a second answer             | its answer |
      | reading an object             | chunks   | a late second answer        | its answer |
      | reading an object             | neither  | end of stream               | code 5001  |
      | reading an object             | neither  | end of stream after a pause | code 5001  |
      | reading an object             | neither  | reset                       | code 5001  |
      | reading an object             | neither  | end of stream, then a reset | code 5001  |
      | reading an object             | neither  | a second answer             | code 5001  |
      | reading an object             | neither  | a late second answer        | code 5001  |
      | writing an object             | a length | end of stream               | code 5002  |
      | writing an object             | a length | end of stream after a pause | code 5002  |
      | writing an object             | a length | reset                       | code 5002  |
      | writing an object             | a length | end of stream, then a reset | code 5002  |
      | writing an object             | a length | a second answer             | its answer |
      | writing an object             | a length | a late second answer        | its answer |
      | writing an object             | chunks   | end of stream               | code 5002  |
      | writing an object             | chunks   | end of stream after a pause | code 5002  |
      | writing an object             | chunks   | reset                       | code 5002  |
      | writing an object             | chunks   | end of stream, then a reset | code 5002  |
      | writing an object             | chunks   | a second answer             | its answer |
      | writing an object             | chunks   | a late second answer        | its answer |
      | writing an object             | neither  | end of stream               | its answer |
      | writing an object             | neither  | end of stream after a pause | its answer |
      | writing an object             | neither  | reset                       | code 5002  |
      | writing an object             | neither  | end of stream, then a reset | code 5002  |
      | writing an object             | neither  | a second answer             | its answer |
      | writing an object             | neither  | a late second answer        | its answer |
      | reading the list of instances | a length | end of stream               | code 5001  |
      | reading the list of instances | a length | end of stream after a pause | code 5001  |
      | reading the list of instances | a length | reset                       | code 5001  |
      | reading the list of instances | a length | end of stream, then a reset | code 5001  |
      | reading the list of instances | a length | a second answer             | its answer |
      | reading the list of instances | a length | a late second answer        | its answer |
      | reading the list of instances | chunks   | end of stream               | code 5001  |
      | reading the list of instances | chunks   | end of stream after a pause | code 5001  |
      | reading the list of instances | chunks   | reset                       | code 5001  |
      | reading the list of instances | chunks   | end of stream, then a reset | code 5001  |
      | reading the list of instances | chunks   | a second answer             | its answer |
      | reading the list of instances | chunks   | a late second answer        | its answer |
      | reading the list of instances | neither  | end of stream               | code 5004  |
      | reading the list of instances | neither  | end of stream after a pause | code 5004  |
      | reading the list of instances | neither  | reset                       | code 5001  |
      | reading the list of instances | neither  | end of stream, then a reset | code 5001  |
      | reading the list of instances | neither  | a second answer             | code 5004  |
      | reading the list of instances | neither  | a late second answer        | code 5004  |
      | an announcement               | a length | end of stream               | code 5001  |
      | an announcement               | a length | end of stream after a pause | code 5001  |
      | an announcement               | a length | reset                       | code 5001  |
      | an announcement               | a length | end of stream, then a reset | code 5001  |
      | an announcement               | a length | a second answer             | its answer |
      | an announcement               | a length | a late second answer        | its answer |
      | an announcement               | chunks   | end of stream               | code 5001  |
      | an announcement               | chunks   | end of stream after a pause | code 5001  |
      | an announcement               | chunks   | reset                       | code 5001  |
      | an announcement               | chunks   | end of stream, then a reset | code 5001  |
      | an announcement               | chunks   | a second answer             | its answer |
      | an announcement               | chunks   | a late second answer        | its answer |
      | an announcement               | neither  | end of stream               | its answer |
      | an announcement               | neither  | end of stream after a pause | its answer |
      | an announcement               | neither  | reset                       | code 5001  |
      | an announcement               | neither  | end of stream, then a reset | code 5001  |
      | an announcement               | neither  | a second answer             | its answer |
      | an announcement               | neither  | a late second answer        | its answer |

  # A part of a number is a number, and only a length or chunks show that it is whole.
  Scenario Outline: What servers of the product's own interface answer
    Given a server whose first answer has <framing>, to <call>, and ends with <how>
    When that call is made twice
    Then the first one gives <outcome>
    And the second one gives its own answer

    Examples:
      | call                              | framing  | how                         | outcome                 |
      | reading an engine's state         | a length | end of stream               | code 3009, may have run |
      | reading an engine's state         | a length | end of stream after a pause | code 3009, may have run |
      | reading an engine's state         | a length | reset                       | code 3009, may have run |
      | reading an engine's state         | a length | end of stream, then a reset | code 3009, may have run |
      | reading an engine's state         | a length | a second answer             | its answer              |
      | reading an engine's state         | a length | a late second answer        | its answer              |
      | reading an engine's state         | chunks   | end of stream               | code 3009, may have run |
      | reading an engine's state         | chunks   | end of stream after a pause | code 3009, may have run |
      | reading an engine's state         | chunks   | reset                       | code 3009, may have run |
      | reading an engine's state         | chunks   | end of stream, then a reset | code 3009, may have run |
      | reading an engine's state         | chunks   | a second answer             | its answer              |
      | reading an engine's state         | chunks   | a late second answer        | its answer              |
      | reading an engine's state         | neither  | end of stream               | code 3004, may have run |
      | reading an engine's state         | neither  | end of stream after a pause | code 3004, may have run |
      | reading an engine's state         | neither  | reset                       | code 3009, may have run |
      | reading an engine's state         | neither  | end of stream, then a reset | code 3009, may have run |
      | reading an engine's state         | neither  | a second answer             | code 3004, may have run |
      | reading an engine's state         | neither  | a late second answer        | code 3004, may have run |
      | an order to an engine             | a length | end of stream               | code 3009, may have run |
      | an order to an engine             | a length | end of stream after a pause | code 3009, may have run |
      | an order to an engine             | a length | reset                       | code 3009, may have run |
      | an order to an engine             | a length | end of stream, then a reset | code 3009, may have run |
      | an order to an engine             | a length | a second answer             | its answer              |
      | an order to an engine             | a length | a late second answer        | its answer              |
      | an order to an engine             | chunks   | end of stream               | code 3009, may have run |
      | an order to an engine             | chunks   | end of stream after a pause | code 3009, may have run |
      | an order to an engine             | chunks   | reset                       | code 3009, may have run |
      | an order to an engine             | chunks   | end of stream, then a reset | code 3009, may have run |
      | an order to an engine             | chunks   | a second answer             | its answer              |
      | an order to an engine             | chunks   | a late second answer        | its answer              |
      | an order to an engine             | neither  | end of stream               | its answer              |
      | an order to an engine             | neither  | end of stream after a pause | its answer              |
      | an order to an engine             | neither  | reset                       | code 3009, may have run |
      | an order to an engine             | neither  | end of stream, then a reset | code 3009, may have run |
      | an order to an engine             | neither  | a second answer             | its answer              |
      | an order to an engine             | neither  | a late second answer        | its answer              |
      | a stage whose result is an object | a length | end of stream               | code 3003, may have run |
      | a stage whose result is an object | a length | end of stream after a pause | code 3003, may have run |
      | a stage whose result is an object | a length | reset                       | code 3003, may have run |
      | a stage whose result is an object | a length | end of stream, then a reset | code 3003, may have run |
      | a stage whose result is an object | a length | a second answer             | its answer              |
      | a stage whose result is an object | a length | a late second answer        | its answer              |
      | a stage whose result is an object | chunks   | end of stream               | code 3003, may have run |
      | a stage whose result is an object | chunks   | end of stream after a pause | code 3003, may have run |
      | a stage whose result is an object | chunks   | reset                       | code 3003, may have run |
      | a stage whose result is an object | chunks   | end of stream, then a reset | code 3003, may have run |
      | a stage whose result is an object | chunks   | a second answer             | its answer              |
      | a stage whose result is an object | chunks   | a late second answer        | its answer              |
      | a stage whose result is an object | neither  | end of stream               | code 3004, may have run |
      | a stage whose result is an object | neither  | end of stream after a pause | code 3004, may have run |
      | a stage whose result is an object | neither  | reset                       | code 3003, may have run |
      | a stage whose result is an object | neither  | end of stream, then a reset | code 3003, may have run |
      | a stage whose result is an object | neither  | a second answer             | code 3004, may have run |
      | a stage whose result is an object | neither  | a late second answer        | code 3004, may have run |
      | a stage whose result is a number  | a length | end of stream               | code 3003, may have run |
      | a stage whose result is a number  | a length | end of stream after a pause | code 3003, may have run |
      | a stage whose result is a number  | a length | reset                       | code 3003, may have run |
      | a stage whose result is a number  | a length | end of stream, then a reset | code 3003, may have run |
      | a stage whose result is a number  | a length | a second answer             | its answer              |
      | a stage whose result is a number  | a length | a late second answer        | its answer              |
      | a stage whose result is a number  | chunks   | end of stream               | code 3003, may have run |
      | a stage whose result is a number  | chunks   | end of stream after a pause | code 3003, may have run |
      | a stage whose result is a number  | chunks   | reset                       | code 3003, may have run |
      | a stage whose result is a number  | chunks   | end of stream, then a reset | code 3003, may have run |
      | a stage whose result is a number  | chunks   | a second answer             | its answer              |
      | a stage whose result is a number  | chunks   | a late second answer        | its answer              |
      | a stage whose result is a number  | neither  | end of stream               | code 3003, may have run |
      | a stage whose result is a number  | neither  | end of stream after a pause | code 3003, may have run |
      | a stage whose result is a number  | neither  | reset                       | code 3003, may have run |
      | a stage whose result is a number  | neither  | end of stream, then a reset | code 3003, may have run |
      | a stage whose result is a number  | neither  | a second answer             | code 3004, may have run |
      | a stage whose result is a number  | neither  | a late second answer        | code 3004, may have run |
      | a stage with a stream             | a length | end of stream               | code 3003, may have run |
      | a stage with a stream             | a length | end of stream after a pause | code 3003, may have run |
      | a stage with a stream             | a length | reset                       | code 3003, may have run |
      | a stage with a stream             | a length | end of stream, then a reset | code 3003, may have run |
      | a stage with a stream             | a length | a second answer             | its answer              |
      | a stage with a stream             | a length | a late second answer        | its answer              |
      | a stage with a stream             | chunks   | end of stream               | code 3003, may have run |
      | a stage with a stream             | chunks   | end of stream after a pause | code 3003, may have run |
      | a stage with a stream             | chunks   | reset                       | code 3003, may have run |
      | a stage with a stream             | chunks   | end of stream, then a reset | code 3003, may have run |
      | a stage with a stream             | chunks   | a second answer             | its answer              |
      | a stage with a stream             | chunks   | a late second answer        | its answer              |
      | a stage with a stream             | neither  | end of stream               | code 3003, may have run |
      | a stage with a stream             | neither  | end of stream after a pause | code 3003, may have run |
      | a stage with a stream             | neither  | reset                       | code 3003, may have run |
      | a stage with a stream             | neither  | end of stream, then a reset | code 3003, may have run |
      | a stage with a stream             | neither  | a second answer             | code 3004, may have run |
      | a stage with a stream             | neither  | a late second answer        | code 3004, may have run |

  # Instances give a length or chunks, which the caller is given anew.
  Scenario Outline: What an instance of the product's own interface answers to a relayed request
    Given a server whose first answer has <framing>, to <call>, and ends with <how>
    When that call is made twice
    Then the first one gives <outcome>
    And the second one gives its own answer

    Examples:
      | call                          | framing  | how                         | outcome         |
      | a request relayed for its key | a length | end of stream               | status 500      |
      | a request relayed for its key | a length | end of stream after a pause | status 500      |
      | a request relayed for its key | a length | reset                       | status 500      |
      | a request relayed for its key | a length | end of stream, then a reset | status 500      |
      | a request relayed for its key | a length | a second answer             | its answer      |
      | a request relayed for its key | a length | a late second answer        | its answer      |
      | a request relayed for its key | chunks   | end of stream               | a broken answer |
      | a request relayed for its key | chunks   | end of stream after a pause | a broken answer |
      | a request relayed for its key | chunks   | reset                       | a broken answer |
      | a request relayed for its key | chunks   | end of stream, then a reset | a broken answer |
      | a request relayed for its key | chunks   | a second answer             | its answer      |
      | a request relayed for its key | chunks   | a late second answer        | its answer      |
      | a request relayed for its key | neither  | end of stream               | a broken answer |
      | a request relayed for its key | neither  | end of stream after a pause | a broken answer |
      | a request relayed for its key | neither  | reset                       | status 500      |
      | a request relayed for its key | neither  | end of stream, then a reset | status 500      |
      | a request relayed for its key | neither  | a second answer             | a broken answer |
      | a request relayed for its key | neither  | a late second answer        | a broken answer |

  # A server that lives on may have ended an answer with neither a length nor chunks in order: the
  # caller is given it without a claim that it is whole.
  Scenario Outline: What a caller gets of a plain answer
    Given an instance on loopback, one answer of whose servers has <framing> and ends with <how>
    When a caller sends it a <kind> request, which is given that answer, and another one
    Then the caller gets <outcome>, after <servers> servers had the request
    And the next one gets its own answer

    Examples:
      | kind   | framing  | how                         | outcome                            | servers |
      | safe   | a length | end of stream               | another server's body              | 2       |
      | safe   | a length | end of stream after a pause | another server's body              | 2       |
      | safe   | a length | reset                       | another server's body              | 2       |
      | safe   | a length | end of stream, then a reset | another server's body              | 2       |
      | safe   | a length | a second answer             | the whole body                     | 1       |
      | safe   | chunks   | end of stream               | another server's body              | 2       |
      | safe   | chunks   | end of stream after a pause | another server's body              | 2       |
      | safe   | chunks   | reset                       | another server's body              | 2       |
      | safe   | chunks   | end of stream, then a reset | another server's body              | 2       |
      | safe   | chunks   | a second answer             | the whole body                     | 1       |
      | safe   | neither  | end of stream               | a part without a claim             | 1       |
      | safe   | neither  | end of stream after a pause | a part without a claim             | 1       |
      | safe   | neither  | reset                       | another server's body              | 2       |
      | safe   | neither  | end of stream, then a reset | another server's body              | 2       |
      | safe   | neither  | a second answer             | another server's body              | 2       |
      | unsafe | a length | end of stream               | status 502                         | 1       |
      | unsafe | a length | end of stream after a pause | status 502                         | 1       |
      | unsafe | a length | reset                       | status 502                         | 1       |
      | unsafe | a length | end of stream, then a reset | status 502                         | 1       |
      | unsafe | a length | a second answer             | the whole body                     | 1       |
      | unsafe | chunks   | end of stream               | status 502                         | 1       |
      | unsafe | chunks   | end of stream after a pause | status 502                         | 1       |
      | unsafe | chunks   | reset                       | status 502                         | 1       |
      | unsafe | chunks   | end of stream, then a reset | status 502                         | 1       |
      | unsafe | chunks   | a second answer             | the whole body                     | 1       |
      | unsafe | neither  | end of stream               | a part without a claim             | 1       |
      | unsafe | neither  | end of stream after a pause | a part without a claim             | 1       |
      | unsafe | neither  | reset                       | status 502                         | 1       |
      | unsafe | neither  | end of stream, then a reset | status 502                         | 1       |
      | unsafe | neither  | a second answer             | status 502                         | 1       |

  # A stream that ends within an event was broken off. The head that a caller was given says how the
  # stream ends, also where another server goes on with it.
  Scenario Outline: What a caller gets of a stream
    Given an instance on loopback, one stream of whose servers has <framing> and ends <cut> with <how>
    When a caller sends it a <kind> request, which is given that answer, and another one
    Then the caller gets <outcome>, after <servers> servers had the request
    And the next one gets its own answer

    Examples:
      | kind      | framing  | cut                | how                         | outcome                    | servers |
      | stream    | a length | between two events | end of stream               | a broken answer            | 1       |
      | stream    | a length | within an event    | end of stream               | a broken answer            | 1       |
      | stream    | a length | between two events | end of stream after a pause | a broken answer            | 1       |
      | stream    | a length | within an event    | end of stream after a pause | a broken answer            | 1       |
      | stream    | a length | between two events | reset                       | a broken answer            | 1       |
      | stream    | a length | within an event    | reset                       | a broken answer            | 1       |
      | stream    | a length | between two events | end of stream, then a reset | a broken answer            | 1       |
      | stream    | a length | within an event    | end of stream, then a reset | a broken answer            | 1       |
      | stream    | a length | between two events | a second answer             | all events                 | 1       |
      | stream    | chunks   | between two events | end of stream               | a broken answer            | 1       |
      | stream    | chunks   | within an event    | end of stream               | a broken answer            | 1       |
      | stream    | chunks   | between two events | end of stream after a pause | a broken answer            | 1       |
      | stream    | chunks   | within an event    | end of stream after a pause | a broken answer            | 1       |
      | stream    | chunks   | between two events | reset                       | a broken answer            | 1       |
      | stream    | chunks   | within an event    | reset                       | a broken answer            | 1       |
      | stream    | chunks   | between two events | end of stream, then a reset | a broken answer            | 1       |
      | stream    | chunks   | within an event    | end of stream, then a reset | a broken answer            | 1       |
      | stream    | chunks   | between two events | a second answer             | all events                 | 1       |
      | stream    | neither  | between two events | end of stream               | a part without a claim     | 1       |
      | stream    | neither  | within an event    | end of stream               | a broken answer            | 1       |
      | stream    | neither  | between two events | end of stream after a pause | a part without a claim     | 1       |
      | stream    | neither  | within an event    | end of stream after a pause | a broken answer            | 1       |
      | stream    | neither  | between two events | reset                       | a broken answer            | 1       |
      | stream    | neither  | within an event    | reset                       | a broken answer            | 1       |
      | stream    | neither  | between two events | end of stream, then a reset | a broken answer            | 1       |
      | stream    | neither  | within an event    | end of stream, then a reset | a broken answer            | 1       |
      | resumable | a length | between two events | end of stream               | all events                 | 2       |
      | resumable | a length | within an event    | end of stream               | all events                 | 2       |
      | resumable | a length | between two events | end of stream after a pause | all events                 | 2       |
      | resumable | a length | within an event    | end of stream after a pause | all events                 | 2       |
      | resumable | a length | between two events | reset                       | all events                 | 2       |
      | resumable | a length | within an event    | reset                       | all events                 | 2       |
      | resumable | a length | between two events | end of stream, then a reset | all events                 | 2       |
      | resumable | a length | within an event    | end of stream, then a reset | all events                 | 2       |
      | resumable | a length | between two events | a second answer             | all events                 | 1       |
      | resumable | chunks   | between two events | end of stream               | all events                 | 2       |
      | resumable | chunks   | within an event    | end of stream               | all events                 | 2       |
      | resumable | chunks   | between two events | end of stream after a pause | all events                 | 2       |
      | resumable | chunks   | within an event    | end of stream after a pause | all events                 | 2       |
      | resumable | chunks   | between two events | reset                       | all events                 | 2       |
      | resumable | chunks   | within an event    | reset                       | all events                 | 2       |
      | resumable | chunks   | between two events | end of stream, then a reset | all events                 | 2       |
      | resumable | chunks   | within an event    | end of stream, then a reset | all events                 | 2       |
      | resumable | chunks   | between two events | a second answer             | all events                 | 1       |
      | resumable | neither  | between two events | end of stream               | a part without a claim     | 1       |
      | resumable | neither  | within an event    | end of stream               | all events without a claim | 2       |
      | resumable | neither  | between two events | end of stream after a pause | a part without a claim     | 1       |
      | resumable | neither  | within an event    | end of stream after a pause | all events without a claim | 2       |
      | resumable | neither  | between two events | reset                       | all events without a claim | 2       |
      | resumable | neither  | within an event    | reset                       | all events without a claim | 2       |
      | resumable | neither  | between two events | end of stream, then a reset | all events without a claim | 2       |
      | resumable | neither  | within an event    | end of stream, then a reset | all events without a claim | 2       |

  # Guards against a last chunk behind a part of a stream: the caller was given the head of the first
  # server, and the second one gave neither a length nor chunks.
  Scenario Outline: What a caller gets of a stream whose rest is framed otherwise
    Given an instance on loopback, one stream of whose servers has <first> and ends between two events with reset
    And the rest of the stream has <rest>, and is sent <how much>
    When a caller sends it a resumable request, which is given that answer, and another one
    Then the caller gets <outcome>, after 2 servers had the request
    And the next one gets its own answer

    Examples:
      | first    | rest     | how much | outcome                    |
      | chunks   | neither  | whole    | a broken answer            |
      | chunks   | neither  | in part  | a broken answer            |
      | a length | neither  | whole    | a broken answer            |
      | a length | neither  | in part  | a broken answer            |
      | neither  | neither  | whole    | all events without a claim |
      | neither  | neither  | in part  | a part without a claim     |
      | chunks   | a length | whole    | all events                 |
      | neither  | chunks   | whole    | all events without a claim |

  # Guards against a failed write that takes the reset away, so that the end of the stream follows.
  Scenario Outline: An answer whose connection is reset while the request is written
    Given a server that resets the connection behind an answer with <framing>, to <call>
    When that call is made with 8 MB
    Then it gives <outcome>

    Examples:
      | framing  | call                              | outcome                 |
      | a length | a stage whose result is an object | its answer              |
      | chunks   | a stage whose result is an object | its answer              |
      | neither  | a stage whose result is an object | code 3003, may have run |
      | a length | a stage whose result is a number  | its answer              |
      | chunks   | a stage whose result is a number  | its answer              |
      | neither  | a stage whose result is a number  | code 3003, may have run |
      | a length | writing an object                 | its answer              |
      | chunks   | writing an object                 | its answer              |
      | neither  | writing an object                 | code 5002               |

  # Messages give their size, and each has a number that the one behind it cannot repeat.
  Scenario Outline: A message that another instance breaks off is none
    Given a link to another instance that ends within its <part> with <how>
    When messages are received over it until it fails
    Then <number> messages are received, and it fails with code <code>

    Examples:
      | part           | how                         | number | code |
      | hello          | end of stream               | 0      | 6004 |
      | hello          | end of stream after a pause | 0      | 6004 |
      | hello          | reset                       | 0      | 6004 |
      | hello          | end of stream, then a reset | 0      | 6004 |
      | proof          | end of stream               | 0      | 6004 |
      | proof          | end of stream after a pause | 0      | 6004 |
      | proof          | reset                       | 0      | 6004 |
      | proof          | end of stream, then a reset | 0      | 6004 |
      | first message  | end of stream               | 0      | 6004 |
      | first message  | end of stream after a pause | 0      | 6004 |
      | first message  | reset                       | 0      | 6004 |
      | first message  | end of stream, then a reset | 0      | 6004 |
      | second message | end of stream               | 1      | 6004 |
      | second message | end of stream after a pause | 1      | 6004 |
      | second message | reset                       | 1      | 6004 |
      | second message | end of stream, then a reset | 1      | 6004 |
      | second message | a second message            | 2      | 6003 |

  Scenario Outline: A request that its caller breaks off never runs
    Given an ingress whose forwarder answers "yes"
    When a caller's request with <framing> ends with <how>
    Then no request is run

    Examples:
      | framing  | how                         |
      | a length | end of stream               |
      | a length | end of stream after a pause |
      | a length | reset                       |
      | a length | end of stream, then a reset |
      | chunks   | end of stream               |
      | chunks   | end of stream after a pause |
      | chunks   | reset                       |
      | chunks   | end of stream, then a reset |

  Scenario Outline: What follows a whole request is no part of it
    Given an ingress whose forwarder answers "yes"
    When a caller's request with <framing> ends with <how>
    Then requests <ids> are run, and each gets its own answer

    Examples:
      | framing  | how              | ids       |
      | a length | a second request | r1 and r2 |
      | a length | other bytes      | r1        |
      | chunks   | a second request | r1 and r2 |
      | chunks   | other bytes      | r1        |
      | neither  | a second request | r1 and r2 |
      | neither  | other bytes      | r1        |
