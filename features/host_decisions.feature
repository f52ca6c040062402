Feature: Decisions and documents of a host on the users' platform

  # Guards against beliefs that are worse than a count of recent results.
  Scenario: host decisions: The belief about a target beats the share of its last results
    Then host decisions: over 40 simulated targets the belief predicts failures better than the naive share

  # Guards against blaming a target for this host's own cut path.
  Scenario: host decisions: A path that is cut for one host is told from a gray target
    Then host decisions: own failures beside good answers of others raise the path's belief above 0.5
    And host decisions: failures that all hosts see leave the path's belief below 0.5

  # Guards against a sample that holds only the answers below its own percentile.
  Scenario: host decisions: The latency sample agrees with a sorted list
    Then host decisions: quantiles and shares agree with the naive ones

  # Guards against more repeats than the fleet may send in any window.
  Scenario Outline: host decisions: Repeats keep the fleet's bound
    Then host decisions: <hosts> hosts in <groups> groups that do not hear each other keep the bound

    Examples:
      | hosts | groups |
      | 1     | 1      |
      | 36    | 1      |
      | 36    | 2      |
      | 36    | 36     |

  # Guards against hosts that spend a multiple of their share because they count each
  # other's sends seconds late.
  Scenario Outline: host decisions: Repeats keep the fleet's bound with late counts, from <start> s on
    Then host decisions: 36 hosts that count 40 sends of each other at once keep the bound, with repeats from <start> s on

    Examples:
      | start |
      | 0     |
      | 10    |

  # Guards against memory that grows with each key that has a large value.
  Scenario: host decisions: Kept values are bounded in sum
    Then host decisions: 40 changes of 20 values of 1048576 bytes keep at most 8388608 bytes

  # Guards against datagrams that are cut into fragments, each of which may be lost.
  Scenario: host decisions: A full datagram of findings fits in a frame
    Then host decisions: a full datagram of starts takes at most 1472 bytes

  # Guards against a crashing request that goes on to other targets while its notice
  # waits for a busy link.
  Scenario: host decisions: A notice of a crash does not wait for the link
    Then host decisions: a hub whose link is overdrawn holds findings and sends a notice

  # Guards against sends of other hosts that are never counted because their findings
  # were lost on a full link (BUDGET broken on both grown sites).
  Scenario Outline: host decisions: Sends whose findings <fate> are counted once
    Then host decisions: <sent> sends whose findings <fate> are counted as <counted>

    Examples:
      | fate                                | sent | counted |
      | all arrive                          | 50   | 50      |
      | arrive in another order             | 50   | 50      |
      | are lost but for each tenth         | 50   | 50      |
      | are announced by a restarted host   | 50   | 50      |
      | arrive after the host has restarted | 50   | 40      |
      | are first seen in the middle        | 50   | 26      |

  # Guards against a fresh allowance of all hosts after a change of the settings.
  Scenario: host decisions: Changed settings keep the counted sends
    Then host decisions: after a reload with another ratio the counted sends are the same

  # Guards against a replica that goes back, or that differs from the store.
  Scenario: host decisions: A replica converges whatever way its news takes
    Then host decisions: replicas fed by events, listings and copies in any order equal the store

  # Guards against hosts with the same view that all choose the same target.
  Scenario: host decisions: Hosts with one view spread their requests
    Then host decisions: 36 hosts that choose among 20 equal targets use at least 12 of them
    And host decisions: a target that is believed gray gets no order while others are sound
    And host decisions: idempotent requests go first to the target that was silent for longest

  # Guards against work for each request that grows with the targets of its service, and
  # against targets that are never considered.
  Scenario: host decisions: A choice considers a bounded number of targets
    Then host decisions: of 1000 targets a choice considers at most 40, connected ones among them, and each in turn

  # Guards against requests on a route that is not the longest prefix.
  Scenario: host decisions: The longest prefix wins
    Then host decisions: routes agree with a scan over all prefixes

  # Guards against input that ends the process or is taken as something else.
  Scenario Outline: host decisions: Unusable documents are typed errors
    Then host decisions: the <document> "<text>" is refused at "<path>"

    Examples:
      | document      | text                                                         | path                 |
      | configuration | {                                                            | $                    |
      | configuration | []                                                           | $                    |
      | configuration | {"resources": []}                                            | $.version            |
      | configuration | {"version": "zz", "resources": []}                           | $.version            |
      | configuration | {"version": "01", "resources": [5]}                          | $.resources[0]       |
      | configuration | {"version": "01", "resources": []}                           | $.resources          |
      | configuration | {"version": "01", "resources": [{"resourceType": "routes", "metadata": {"name": "r"}, "spec": {"kind": "odd"}}]} | $.resources[0].kind |
      | target        | {"info": 5}                                                  | servers/t.info       |
      | target        | {"info": {}, "status": {"state": "off"}}                     | servers/t.status.state |
      | target        | {"info": {"slots": 0}, "status": {"state": "ready"}, "address": "1.1.1.1:1"} | servers/t.info.slots |
      | target        | {"info": {"slots": 2}, "status": {"state": "ready"}, "address": "1.1.1.1"} | servers/t |
      | configuration | {"version": "01", "resources": [{"resourceType": "routes", "metadata": {"name": "r"}, "spec": {"kind": "safe", "host": "h", "prefix": "/a/", "service": "s", "timeoutMs": 100, "maxAttempts": "two"}}]} | $.resources[0].maxAttempts |
      | configuration | {"version": "01", "resources": [{"resourceType": "routes", "metadata": {"name": "r"}, "spec": {"kind": "safe", "host": "h", "prefix": "/a/", "service": "s", "timeoutMs": 100, "maxAttempts": 0}}]} | $.resources[0].maxAttempts |
      | configuration | {"version": "01", "resources": [{"resourceType": "routes", "metadata": {"name": "r"}, "spec": {"kind": "safe", "host": "h", "prefix": "/a/", "service": "s", "timeoutMs": 100, "maxAttempts": 0.5}}]} | $.resources[0].maxAttempts |
      | configuration | {"version": "01", "resources": [{"resourceType": "routes", "metadata": {"name": "r"}, "spec": {"kind": "safe", "host": "h", "prefix": "/a/", "service": "s", "timeoutMs": 100, "maxAttempts": true}}]} | $.resources[0].maxAttempts |
      | configuration | {"version": "01", "resources": [{"resourceType": "routes", "metadata": {"name": "r"}, "spec": {"kind": "safe", "host": "h", "prefix": "/a/", "service": "s", "timeoutMs": 100, "targetLatencyMs": "soon"}}]} | $.resources[0].targetLatencyMs |
      | configuration | {"version": "01", "resources": [{"resourceType": "routes", "metadata": {"name": "r"}, "spec": {"kind": "safe", "host": "h", "prefix": "/a/", "service": "s", "timeoutMs": 100, "targetLatencyMs": 0}}]} | $.resources[0].targetLatencyMs |
      | configuration | {"version": "01", "resources": [{"resourceType": "services", "metadata": {"name": "s"}, "spec": {"maxConnections": "many"}}]} | $.resources[0].maxConnections |
      | target        | {"info": {"slots": 2, "service": "s", "zone": "z"}, "status": {"state": "ready", "coldRemainingMs": "long"}, "address": "1.1.1.1:1"} | servers/t.status.coldRemainingMs |
      | host          | {"address": "1.1.1.1"}                                       | oleanderroute/hosts/h.control_port |

  Scenario Outline: host decisions: Unusable settings are typed errors
    Then host decisions: settings with "<line>" are refused at "<path>"

    Examples:
      | line                         | path             |
      | nodeName=                    | nodeName         |
      | listen.front=nowhere         | listen.front     |
      | platform.address=            | platform.address |
      | platform.ttlMinMs=often      | platform.ttlMinMs |
      | internalPortRange=a,b        | internalPortRange |
      | limits.linkMbps=fast         | limits.linkMbps  |

  # Guards against a process that stalls because nobody reads its log.
  Scenario: host decisions: A log whose reader stalls drops lines and never waits
    Then host decisions: 20000 records to a full pipe take less than 5 s and are counted

  # Guards against hosts that wait for a dead hub, or that all become one.
  Scenario: host decisions: Hosts agree on a hub and pass over a silent one
    Then host decisions: 12 hosts that hear the hub agree on it
    And host decisions: they agree on another within 0.5 s of its silence and come back to it
    And host decisions: a host that hears nobody is its own hub in the end

  # Guards against a hub whose link can't carry what it forwards, so that most findings
  # are lost (BUDGET broken on both grown sites).
  Scenario: host decisions: Hosts with fast links are hubs and watchers first
    Then host decisions: among hosts of 5 and 100 Mbit/s the fast are hubs

  # Guards against a failure domain that hears nothing because the store refuses its
  # hub (CONFIG broken, hunt of papelitos-gw, day hunt-2fd7-11).
  Scenario Outline: host decisions: The hub appoints a watcher that the store serves
    Then host decisions: with the store lost by "<lost>" of h0 to h3 the hub h1 appoints <watcher>

    Examples:
      | lost        | watcher      |
      |             | h1           |
      | h0          | h1           |
      | h1          | another      |
      | h0,h1,h2    | h3           |
      | h0,h1,h2,h3 | h1           |

  Scenario: host decisions: Hosts learn whom the hub has appointed
    Then host decisions: when the store is lost by a hub, one other host of its domain is appointed within 0.3 s

  # Guards against a findings datagram that is lost between outbox and hub.
  Scenario: host decisions: Findings reach every host through hubs
    Then host decisions: a finding of each of 6 hosts in 3 failure domains is known to all

  # Guards against a later version's findings that vanish without a trace or flood the log.
  Scenario: host decisions: A finding of an unknown kind is logged once
    Then host decisions: 50 findings of the unknown kind 99 leave one log line

  # Guards against an overload in which every answer is late because a queue stands.
  Scenario: host decisions: A standing queue is not let grow
    Then host decisions: at 1.2 times the capacity for 6 s at least 0.3 more of the requests are answered in time than by the naive queue
    And host decisions: the naive queue answers no more than its length and 0.01 of all requests on top

  # Guards against refusals that a short burst does not need.
  Scenario: host decisions: A burst that drains by itself is served whole
    Then host decisions: at 2 times the capacity for 0.2 s no request is refused

  # Guards against a queue that is taken for standing after news of long ago.
  Scenario: host decisions: Two long waits that lie far apart are no standing queue
    Then host decisions: waits of 1 s at the seconds 0, 5 and 10 refuse nothing

  # Guards against waits that are counted twice, once in the latency and once as a queue.
  Scenario: host decisions: The time of service holds no time in queues
    Then host decisions: 500 latencies of 0.5 s behind a queue leave the time of service at 0.1 s

  # Guards against hosts that can't start from others when the configuration is large.
  Scenario: host decisions: A copy with the largest value goes from one host to another
    Then host decisions: a copy of a value of 1048576 bytes and 3000 others arrives whole

  # Guards against a process that ends, hangs or estimates wrongly after one malformed
  # datagram of another host.
  Scenario Outline: host decisions: <damage> datagrams leave a host as it was
    Then host decisions: 3000 <damage> datagrams leave estimates, counts and the store's state in range, seed <seed>

    Examples:
      | damage              | seed |
      | cut and flipped     | 1    |
      | extreme             | 2    |
      | extreme and flipped | 3    |

  # Guards against a line for each target at each start of each host.
  Scenario: host decisions: A listing of many targets takes few log lines
    Then host decisions: 400 targets that are listed and removed at once take at most 50 log lines, and 3 take 6

  # Guards against checks that reject what hosts send, and against checks that let pass what
  # makes a host deaf to the store's changes.
  Scenario Outline: host decisions: A datagram with <content> is <verdict>
    Then host decisions: a datagram with <content> is <verdict>

    Examples:
      | content                                    | verdict  |
      | a change that is newer than its revision   | accepted |
      | an age of the confirmation of a minute     | accepted |
      | a change of a negative revision            | rejected |
      | changes that follow a later revision       | rejected |
      | a negative age of the confirmation         | rejected |
      | a change without a key                     | rejected |
      | no host                                    | rejected |

  # Guards against requests that arrive late in a planned stop, are sent to a target and
  # cut without an answer when the host ends (operators' report).
  Scenario Outline: host decisions: A request that comes <late_s> s into a stop with <left_s> s left is <result>
    Then host decisions: a request that comes <late_s> s into a stop of 6 s with <left_s> s left is <result>

    Examples:
      | late_s | left_s | result    |
      | 0.1    | 5.4    | forwarded |
      | 2.5    | 4.0    | forwarded |
      | 2.95   | 1.5    | forwarded |
      | 2.95   | 4.0    | refused   |
      | 3.3    | 2.4    | refused   |
      | 5.0    | 1.5    | refused   |
      | 5.0    | 0.4    | forwarded |
