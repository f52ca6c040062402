Feature: A host on the users' platform, as real processes against the stand-ins

  # Guards against a wrong promise to a caller, a second run of a request that may
  # run once, and bytes of another request.
  Scenario Outline: host: A request meets a target in a mode
    Given host: 1 host, targets t1 and t2
    When host: all targets are in mode "<mode>" and "<method>" is sent to "<path>"
    Then host: the status is one of "<status>" with seal "<seal>" after <runs> runs

    Examples:
      | mode     | method | path     | status  | seal    | runs |
      |          | GET    | /look/1  | 200     | standin | 1    |
      |          | POST   | /order/1 | 200     | standin | 1    |
      | hang     | POST   | /order/1 | 504     | none    | 1    |
      | hang     | GET    | /look/1  | 504     | none    | 2    |
      | shed     | POST   | /order/1 | 503     | none    | 0    |
      | shed     | GET    | /look/1  | 503     | none    | 0    |
      | reset    | POST   | /order/1 | 502     | none    | 1    |
      | error    | POST   | /order/1 | 500     | standin | 1    |
      | error    | GET    | /look/1  | 500     | standin | 2    |
      | unframed | POST   | /order/1 | 200     | standin | 1    |
      | stray    | POST   | /order/1 | 200     | standin | 1    |
      | unproven | POST   | /order/1 | 502     | none    | 1    |
      | status-000 | POST | /order/1 | 502     | none    | 1    |
      | status-000 | GET  | /look/1  | 502     | none    | 2    |
      | early    | POST   | /order/1 | 500     | standin | 0    |
      |          | GET    | /none/1  | 404     | none    | 0    |
      |          | GET    | /look    | 404     | none    | 0    |

  # Guards against a host that serves or refuses by an older configuration.
  Scenario: host: A configuration is in force on all hosts, an older or unreadable one is not
    Given host: 3 hosts, targets t1 and t2
    When host: version 20 adds a route "/new/"
    Then host: each host serves "/new/1" within 2 s
    When host: the configuration is replaced by bytes that can't be read
    And host: version 19 without that route is written
    Then host: each host still serves "/new/1" after 1 s

  # Guards against new work for a target that leaves, by both ways of its news.
  Scenario Outline: host: A leaving target gets no new request
    Given host: 3 hosts, targets t1 and t2
    When host: t1 leaves by "<way>"
    Then host: 2 s later no host sends a request to t1

    Examples:
      | way             |
      | a draining state |
      | a removed entry  |
      | an answer        |

  # Guards against requests to a target within the time in which it asked for none.
  Scenario: host: A target that asks for a pause gets no request until its end
    Given host: 1 host, targets t1 and t2
    When host: all targets ask for a pause while 60 lookups and orders are sent
    Then host: no target got more than one request of the host in any 1.5 s
    And host: those refused without a send were told when to come back

  # Guards against the loss of targets and configuration while the store is away.
  Scenario Outline: host: The store is away
    Given host: 2 hosts, targets t1 and t2
    When host: the store is "<fault>" for 4 s
    Then host: requests are served during and after it
    And host: a host that starts meanwhile takes its first copy from another host

    Examples:
      | fault  |
      | busy   |
      | many   |
      | reset  |
      | silent |

  # Guards against a call to the store by every host for each change.
  Scenario: host: One host of a failure domain watches the store
    Given host: 3 hosts, targets t1 and t2
    When host: nothing happens for 4 s
    Then host: the store got at most 5 watches in these 4 s

  # Guards against a host that stays deaf after the one that watched has died.
  Scenario: host: Another host takes over the watch
    Given host: 3 hosts, targets t1 and t2
    When host: the watching host is killed
    And host: version 30 adds a route "/late/"
    Then host: each host serves "/late/1" within 4 s

  # Guards against requests that a planned stop cuts.
  Scenario: host: A stop ends the requests in flight
    Given host: 1 host, targets t1 and t2
    When host: an order hangs while the host is stopped
    Then host: the host is not ready and the order is answered before the host ends

  # Guards against running work that is given up, or started again elsewhere, because its
  # target was silent towards the store.
  Scenario Outline: host: Orders go on while <what>
    Given host: 2 hosts, targets t1 and t2
    When host: 6 slow orders run and <what>
    Then host: each of them is answered 200 after one run

    Examples:
      | what                                     |
      | the entries of their targets are removed |
      | the store is silent                      |

  # Guards against entries of other writers that hold up the readable ones.
  Scenario: host: Unreadable entries name no target
    Given host: 1 host, targets t1 and t2
    When host: strange entries are written
    Then host: requests are served and the entries are logged

  # Guards against a host that nobody tells anything after its key was taken away.
  Scenario: host: A host whose key is removed announces itself again
    Given host: 3 hosts, targets t1 and t2
    When host: the key of h2 is removed
    Then host: the store has the key of h2 again within 5 s
    And host: the other hosts have never ceased to count h2

  # Guards against a host that ends because a port for scrapers is taken.
  Scenario: host: A taken metrics port does not end the host
    Given host: 1 host, targets t1 and t2
    When host: a second host starts on the address of the first
    Then host: both serve requests and the second logs the taken port
    And host: both end in order when they are stopped

  # Guards against work that goes on at a target after its caller has left (GONE).
  Scenario Outline: host: A caller that leaves cancels its request
    Given host: 1 host, targets t1 and t2
    When host: a caller of "<method>" "<path>" leaves while its request hangs
    Then host: each target that runs it sees the connection closed within 0.5 s

    Examples:
      | method | path     |
      | GET    | /look/1  |
      | POST   | /order/1 |

  # Guards against requests that run at a target behind a reused address (ROUTE).
  Scenario: host: An address that another target has taken runs nothing for the old one
    Given host: 1 host, targets t1 and t2
    When host: the store names the address of t2 for a target t8 as well
    Then host: 12 lookups and 12 orders are served, each run once or refused by proof

  # Guards against a request that ends one target after the other (BUDGET).
  Scenario: host: A request that ends its targets is refused on all hosts
    Given host: 2 hosts, targets t1 and t2
    And host: 4 more targets
    When host: an order that ends its targets is sent 8 times by turns
    Then host: at most 3 targets have ended and the last order is refused as not run
    And host: other orders are served

  # Guards against a 404 by a host that may have missed a configuration (DENIED).
  Scenario: host: A host without news of the store denies no route
    Given host: 1 host, targets t1 and t2
    When host: the store stays "silent" for 3.2 s
    Then host: a path without a route gets 503 for the reason "route-uncertain"
    When host: the store answers again
    Then host: a path without a route gets 404 within 4 s

  # Guards against a false "not run" and a missing cause when a queue stands.
  Scenario: host: Requests are refused while a queue stands, and served after it
    Given host: 1 host, targets t1 and t2
    When host: 12 callers send lookups to slow targets for 4 s
    Then host: some are refused for the reason "no-room", and none of those has run
    And host: the host has logged that a queue stands
    And host: a lookup alone is served

  # Guards against a host that reads an answer without end, in memory or for longer than
  # the caller waits.
  Scenario Outline: host: A target that sends bytes without end is cut off
    Given host: 1 host, targets t1 and t2
    When host: all targets are in mode "<mode>" and "<method>" is sent to "<path>"
    Then host: the answer is no complete success, after <runs> runs
    And host: each target that runs it sees the connection closed within 0.5 s
    And host: the host has used at most 64 MB more memory
    When host: all targets are in mode "" and "GET" is sent to "/look/2"
    Then host: the status is 200

    Examples:
      | mode              | method | path     | runs |
      | endless-garbage   | POST   | /order/1 | 1    |
      | endless-head      | GET    | /look/1  | 2    |
      | endless-head      | POST   | /order/1 | 1    |
      | endless-interim   | POST   | /order/1 | 1    |
      | endless-chunks    | GET    | /look/1  | 1    |
      | endless-chunks    | POST   | /order/1 | 1    |
      | endless-close     | POST   | /order/1 | 1    |
      | endless-trailer   | POST   | /order/1 | 1    |
      | endless-extension | POST   | /order/1 | 1    |

  # Guards against requests that are read while the process ends and never answered.
  Scenario: host: A stop leaves no request of the readiness port unanswered
    Given host: 1 host, targets t1 and t2
    When host: the host is stopped while its readiness is asked all the time
    Then host: each question that was read was answered, and the host ended without warnings
