Feature: Bringing a declaration into force, and never going back

  Scenario: A first apply creates revision 1 and its history
    Given a configuration store in memory
    When configuration A is applied on base 0
    Then the configuration apply ends as revision 1
    And the configuration history lists 1

  Scenario: An apply uploads only the chunks that changed
    Given a configuration store in memory with revision 1
    When configuration B is applied on base 1
    Then the configuration apply uploaded 1 chunk
    And the configuration history lists 2 1

  Scenario: The operator who comes second sees what the first one changed
    Given a configuration store in memory with revision 1
    When configuration B is applied on base 1
    And configuration C is applied on base 1
    Then the configuration apply ends as a conflict that shows $.services.shop

  Scenario Outline: An apply whose head write meets <faults> ends as <result>
    Given a configuration store in memory with revision 1
    When the configuration store has the head faults <faults>
    And configuration B is applied on base 1
    Then the configuration apply ends as <result>
    And the configuration history lists <history>

    Examples:
      | faults                                 | result     | history |
      | lost answer                            | revision 2 | 2 1     |
      | lost request                           | revision 2 | 2 1     |
      | lost request, lost request, lost answer | revision 2 | 2 1    |
      | another apply wins                     | a conflict | 2 1     |
      | lost answer, then another apply        | revision 2 | 3 2 1   |
      | answer lost, then down                 | unknown    | 2 1     |

  Scenario: A store that is down changes nothing and says so
    Given a configuration store in memory with revision 1
    When the configuration store goes down
    And configuration B is applied on base 1
    Then the configuration apply ends as unavailable

  # Guards against an apply that outlives its time limit on a slow store. The bounds
  # are the limit, 10 s for the differences, and the calls that may be under way.
  Scenario Outline: An apply with <faults> on a store that takes <call_s> s a call ends in time
    Given a configuration store in memory with revision 1
    When the configuration store has the head faults <faults>
    And configuration B is applied on base <base> within <limit_s> s while each call takes <call_s> s
    Then the configuration apply ends as <result>
    And the configuration apply took at most <bound_s> s

    Examples:
      | faults             | base | limit_s | call_s | result      | bound_s |
      | another apply wins | 1    | 9       | 1.9    | a conflict  | 26.6    |
      | ok                 | 0    | 5       | 1.9    | a conflict  | 18.8    |
      | ok                 | 1    | 1       | 1.5    | unavailable | 4       |
      | ok                 | 1    | 20      | 1.9    | revision 2  | 23.8    |

  Scenario: Racing operators with lost answers make one unbroken line of revisions
    Then any race of configuration applies agrees with the order in the store

  Scenario: A host keeps the highest revision it saw, and its first content, in any order
    Then any sequence of configuration heads leaves the naive maximum in force

  Scenario: A relay follows a store that lost its content and counts from 1 again
    Given a configuration fleet of 1 domain with 2 hosts
    When configuration A is stored as revision 1 and 3 poll periods pass
    And the configuration store loses its content while the relays cannot reach it
    Then the configuration relays keep revision 1 and then take a stored revision 2

  Scenario: A host fetches only the chunks that changed
    Given a configuration fleet of 2 domains with 6 hosts
    When configuration A is stored as revision 1 and 4 poll periods pass
    Then configuration B as revision 2 makes each relay read 1 chunk

  Scenario Outline: <domains> domains with <hosts> hosts each have two relays a domain
    Given a configuration fleet of <domains> domains with <hosts> hosts
    Then the configuration fleet has <relays> relays and at most <levels> levels

    Examples:
      | domains | hosts | relays | levels |
      | 1       | 1     | 1      | 1      |
      | 3       | 12    | 6      | 2      |
      | 7       | 123   | 14     | 3      |

  Scenario Outline: A change reaches every host within <rounds> poll periods with <fault>
    Given a configuration fleet of 7 domains with 30 hosts
    And the configuration fleet has <fault>
    When configuration A is stored as revision 1 and <rounds> poll periods pass
    Then the configuration revision 1 is in force on every reachable host
    And the configuration store was read by relays only

    Examples:
      | fault                                        | rounds |
      | no fault                                     | 3      |
      | both relays of a domain unreachable          | 5      |
      | every second host unreachable                | 5      |
      | the relays of all domains but one cut from the store | 8 |

  Scenario: A peer that sends other bytes under a digest is not believed
    Given a configuration fleet of 1 domain with 6 hosts
    When configuration A is stored as revision 1 and 3 poll periods pass
    And a configuration host starts afresh next to a peer that alters chunks
    Then the configuration host takes revision 1 only once another peer offers it

  Scenario: A host that no peer helps asks the store once, after a random time
    Given a configuration fleet of 1 domain with 6 hosts
    When configuration A is stored as revision 1 and no configuration peer answers
    Then the configuration host reads the store only after 5 s without help

  # Guards against a host that draws the same silent peers again and again: with 2.5 s
  # for a poll whose peers are silent, four polls are 10 s of the 12 s of a change.
  Scenario Outline: A host that hears one domain and no store learns of a change (<name>)
    Given a configuration fleet of 3 domains with 3 hosts
    When configuration A is stored as revision 1 and 4 poll periods pass
    Then configuration host <name> learns of it within 4 polls if it hears d2 only

    Examples:
      | name |
      | h0-0 |
      | h0-1 |
      | h0-2 |

  Scenario: A host that waits to ask the store still polls its peers
    Given a configuration fleet of 1 domain with 6 hosts
    Then a configuration host that waits to ask the store still polls its peers

  Scenario: A relay reconnects at a random time within 5 s after an outage
    Given a configuration fleet of 4 domains with 4 hosts
    When the configuration store is down for two watches of every relay
    Then the configuration relays paused different times up to 5 s

  Scenario Outline: A host list answer from a peer of version <version> is <effect>
    Given a configuration fleet of 1 domain with 4 hosts
    When a configuration peer of host list version <version> answers 30 s late
    Then the configuration host list is of version <held> and <effect>

    Examples:
      | version | held | effect                       |
      | 1       | 2    | not confirmed                |
      | 2       | 2    | confirmed as of the question |
      | 3       | 3    | confirmed as of the question |

  Scenario: Changes of the host list add up to the complete list
    Then any sequence of host lists sent as configuration changes equals the lists

  Scenario Outline: oleanderctl <arguments> ends with exit code <code>
    Given a configuration store over HTTP with revision 1
    When the configuration store has the head faults <faults>
    Then oleanderctl <arguments> ends with exit code <code> and prints <text>

    Examples:
      | arguments                                  | faults                  | code | text               |
      | check FILE                                 | ok                      | 0    | 2 services         |
      | check BAD                                  | ok                      | 1    | $.services.shop    |
      | check MISSING                              | ok                      | 2    | does not exist     |
      | diff FILE --store URL                      | ok                      | 0    | no difference      |
      | diff B --store URL --json                  | ok                      | 0    | "changed"          |
      | apply B --store URL --base 1               | ok                      | 0    | revision 2         |
      | apply B --store URL --base 1               | lost answer             | 0    | revision 2         |
      | apply B --store URL --base 0               | ok                      | 1    | holds revision 1   |
      | apply B --store URL                        | ok                      | 2    | --base             |
      | apply B --store http://127.0.0.1:9 --base 1 | ok                     | 3    | nothing was changed |
      | apply B --store URL --base 1 --time-limit-s 0.2 | answer lost, then down | 4 | may or may not     |
      | history --store URL                        | ok                      | 0    | tester             |
      | history --store URL --show 1               | ok                      | 0    | "shop"             |
      | history --store URL --show 5               | ok                      | 1    | revision 5         |
      | status --host HOST                         | ok                      | 0    | in force: 7        |
      | explain --host HOST --service shop         | ok                      | 0    | ready: yes         |
      | report --host 127.0.0.1:9                  | ok                      | 3    | no answer          |

  Scenario: The store client speaks the platform's interface and names its causes
    Given a configuration store over HTTP with revision 1
    Then the configuration store client tells values, conflicts, limits and outages apart
    And each configuration call over HTTP named its cause

  Scenario: Five hosts over real connections follow the store and, without it, each other
    Given a configuration store over HTTP with revision 1
    Then configuration hosts over real connections get revisions 1 and 2 and a newer host list
    And the configuration history lists 2 1
