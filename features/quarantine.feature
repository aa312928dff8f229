@forwarding
Feature: Requests that end the servers which run them
  # Seen: a request ended each model server that began it, some 100 ms after it was sent, and came
  # again and again from one caller at whichever instance. Thirteen servers ended in fourteen
  # seconds, up to five of twelve were away at once, and each took the streams of others with it.
  # Cause: nothing knew a request beyond one attempt on one instance. The logs of that day show no
  # retry that may have run, so that no limit of attempts or of repeats was involved.

  Background:
    Given a forwarding fleet of instances a-1, a-2, b-1
    And model servers llm-1 to llm-8, which start again under new ids 3000 ms after they ended

  Scenario: A request that ends its servers is not sent on, at whichever instance it comes
    When a deadly stream request comes 14 times every 800 ms, each time at the next instance
    Then at most 3 servers have ended
    And the last 10 attempts are refused with code 2010 as not_run within 5 ms
