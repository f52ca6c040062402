Feature: API keys of workspaces at real hosts

  Background:
    Given keys: 2 hosts with workspace "acme", target t1

  # Guards against a key that works at one host and not at another, or goes on working
  # on a connection that was opened before it was taken away.
  Scenario: keys: A key is added and taken away on a kept connection
    When keys: workspace "otra" is added
    Then keys: each host serves "otra" and its target sees it
    When keys: workspace "otra" is taken away while a connection of its key is kept
    Then keys: the next request on that connection gets 401 and does not run

  # Guards against a run under a key that was taken away while the body was sent.
  Scenario: keys: A key is taken away between reading and sending
    When keys: the key of "acme" is taken away while half of a body is sent
    Then keys: that request gets 401 and does not run

  # Guards against a host that waits for the body of a request that it refuses.
  Scenario: keys: A request without a key is refused before its body
    Then keys: the head of a request of 900000 bytes without a key gets 401

  # Guards against a host that keeps old keys because the store turns it away, and
  # against a refused configuration that takes effect.
  Scenario: keys: A host that the store turns away learns new keys from another
    When keys: the store turns h2 away and workspace "otra" is added
    Then keys: each host serves "otra" and its target sees it
    When keys: a configuration with one key at two workspaces is written
    Then keys: each host refuses it and serves "acme" and "otra"

  # Guards against a key in logs, metrics or at a target, whatever becomes of a request.
  Scenario: keys: No key is in the logs and metrics of a host or at a target
    When keys: requests of all results carry their key in other headers and paths
    Then keys: no key is in the logs and metrics of the hosts or at the target

  # Guards against requests that wait for the decoding of a large configuration.
  Scenario: keys: A configuration of a megabyte is put in force in steps
    When keys: 5000 workspaces are added
    Then keys: each host serves "w4999" and its target sees it
    And keys: each host decoded it in steps
