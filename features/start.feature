Feature: Start of an instance
  # Processes are restarted under load. A start must stay cheap, and callers that connect meanwhile
  # must get an answer in time.

  Scenario: A start does not load what an instance may never need
    # Guards against an import at the top of a module that makes every start longer.
    When all modules of an instance are loaded
    Then none of these is loaded: bottle, prometheus_client, configparser, http.cookies

  Scenario: What refuses callers is loaded before what takes long
    # Guards against an import that delays the first moment at which a caller can be refused.
    When the modules that refuse callers are loaded
    Then none of these is loaded: urllib3, eliot, capnp, asyncio, bottle, hdrh
    And none of these is loaded: mountladder.forwarding.forwarder, mountladder.routing.router

  Scenario: A process that loads for too long refuses its callers
    # Guards against a caller that gets no answer since its process is still loading.
    Given a socket for callers that listens while modules load, and a waiting caller
    When 749 ms have passed
    Then the caller has no answer
    When 750 ms have passed
    Then the caller is refused as not run with a Retry-After, and its connection is closed

  Scenario: The instance takes over from the refusals
    # Guards against a caller that is refused though the instance has begun to serve.
    Given a socket for callers that listens while modules load, and a waiting caller
    When 750 ms have passed
    And the instance takes the socket over
    Then a new caller is served by the instance

  Scenario: A caller that connects during a slow start and sends nothing yet is served later
    # Guards against a request that is refused as not ready although the instance serves callers,
    # because its connection was opened before.
    Given a socket for callers that listens while modules load, and a waiting caller
    And an idle connection
    When 750 ms have passed
    And the instance takes the socket over
    Then a request on the idle connection is served by the instance

  Scenario: A process that is slow to start refuses before it has loaded
    Given a slow store, and an instance as a process
    When it is paused for 1.0 s as soon as its socket listens, and a request arrives
    Then it is answered with 503 and a Retry-After
    And its log counts 1 request refused while it loaded

  Scenario: Readiness is answered without the pages for operators
    # Guards against loading Bottle at each start.
    Given the monitoring of an instance that is not ready
    Then a readiness check is answered with 503 and no pages are made
    When the instance becomes ready
    Then a readiness check is answered with 200 and no pages are made
    And a request for the metrics is answered by the pages, which are made once
