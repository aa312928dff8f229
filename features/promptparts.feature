@forwarding
Feature: Requests with one prompt part in common that crash the servers which answer them
  # Guards against a part of a prompt that crashes one server after another. No two requests with it
  # were alike, so that quarantine took each for a first offence: in one evening 18 of 12 model
  # servers and their successors crashed under one part in 30 s, and with each the streams of others.

  Background:
    Given a forwarding fleet of instances a-1, a-2, a-3, b-1, b-2, b-3
    And model servers llm-1 to llm-12, which restart under new ids 3000 ms after a crash

  Scenario: The log names the prompt parts of the requests that a crashed server had in flight
    # Guards against logs that cannot tell a deadly part from a deadly request or a failing server.
    Given the log lines are recorded
    And a deadly prompt part "p" second in the prompt
    When a request with parts "f1, p" comes at a-1
    Then the lines about the crash name the fingerprints of "f1" and "p" and no request begun
    And the line about the receipt of the request names them as well
