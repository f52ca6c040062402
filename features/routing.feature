Feature: Routing of one service on one host

  Scenario Outline: Which targets a request may use: <rule>
    # Guards against work on excluded targets and long requests that crowd out quick.
    Given a router of <targets> targets with <slots> slots
    And the router has <setup>
    When 300 <class> requests that are <repeatability> are routed
    Then the router uses targets <used> because of <reason>

    Examples:
      | rule             | targets | slots | setup                   | class | repeatability | used         | reason              |
      | all              | 5       | 2     | nothing special         | QUICK | idempotent    | t0 to t4     | LEAST_LOADED        |
      | leaving          | 5       | 2     | t0 leaving              | QUICK | idempotent    | t1 to t4     | LEAST_LOADED        |
      | draining         | 5       | 2     | t0 draining             | QUICK | idempotent    | t1 to t4     | LEAST_LOADED        |
      | draining, judged | 5       | 2     | t0 draining and healthy | QUICK | idempotent    | t1 to t4     | LEAST_LOADED        |
      | drained long ago | 5       | 2     | t0 drained 61 s ago     | QUICK | idempotent    | t0 to t4     | LEAST_LOADED        |
      | ejected          | 5       | 2     | t0 ejected              | QUICK | idempotent    | t1 to t4     | LEAST_LOADED        |
      | probation        | 5       | 2     | t0 on probation         | QUICK | idempotent    | t0 to t4     | PROBATION           |
      | probation, once  | 5       | 2     | t0 on probation         | QUICK | at most once  | t1 to t4     | LEAST_LOADED        |
      | one left         | 2       | 2     | t0 draining             | QUICK | idempotent    | t1 to t1     | ONLY_CANDIDATE      |
      | all ejected      | 1       | 2     | t0 ejected              | QUICK | idempotent    | t0 to t0     | LAST_RESORT         |
      | none             | 1       | 2     | t0 leaving              | QUICK | idempotent    | none         | NO_TARGETS          |
      | long, last slot  | 5       | 2     | t0 with 1 long here     | LONG  | idempotent    | t1 to t4     | LEAST_LOADED        |
      | long, elsewhere  | 5       | 2     | t0 with 1 long there    | LONG  | idempotent    | t1 to t4     | LEAST_LOADED        |
      | long, one slot   | 5       | 1     | nothing special         | LONG  | idempotent    | none         | NO_LONG_SLOT        |
      | long, share      | 5       | 4     | 10 long there           | LONG  | idempotent    | none         | LONG_SHARE_REACHED  |

  Scenario: Excluded targets are never tried again
    # Guards against a retry on the target that has just failed.
    Given a router of 5 targets with 2 slots
    Then the router avoids any excluded set of targets and says when none is left

  Scenario Outline: The share of traffic follows <cause>
    # Guards against a weight, a load or a refusal that the choice ignores.
    Given a router of 10 targets with 4 slots
    And the router has <cause>
    When 4000 QUICK requests that are idempotent are routed
    Then the router sends t0 between <low> and <high> of a fair share

    Examples:
      | cause                  | low  | high |
      | nothing special        | 0.8  | 1.2  |
      | t0 at weight 0.25      | 0.1  | 0.6  |
      | t0 with 3 quick here   | 0.0  | 0.3  |
      | t0 with 2 long there   | 0.0  | 0.3  |
      | t0 refusing            | 0.0  | 0.3  |
      | t0 failing             | 0.0  | 0.3  |
      | t0 slow                | 0.0  | 0.3  |
      | t0 refusing 1 s ago    | 0.8  | 1.2  |
      | t0 slow 60 s ago       | 0.8  | 1.2  |

  Scenario: Long requests in flight elsewhere exclude the own ones
    # Guards against own long requests that are counted twice.
    Given a router of 5 targets with 4 slots
    Then of 2 long requests, 2 of them own, the router explains 0
    And of 5 long requests, 3 of them own, the router explains 2

  Scenario: Old verdicts give way to own outcomes, and new ones return
    # Guards against a host that trusts an aggregator which is gone.
    Given a router of 5 targets with 2 slots
    When the router's verdicts are 31 s old and t0 breaks all requests
    Then the router judges locally, ejects t0 and asks for all verdicts
    And the router sends t0 traffic again after new verdicts

  Scenario Outline: Subsets of <hosts> hosts on <targets> targets stay within the limit
    # Guards against targets that run out of connections, and hosts without targets.
    Given subset hosts <hosts> and targets <targets> in 7 failure domains
    Then each subset has at least <least> targets and no target has over 330 connections
    And each subset lies partly in other failure domains
    And one host more changes at most <pairs> pairs of the subset
    And a lost target only affects the subset pairs that had it, up to <spread> times

    Examples:
      | hosts | targets | least | pairs | spread |
      | 44    | 25      | 25    | 0     | 1      |
      | 44    | 6       | 6     | 0     | 1      |
      | 860   | 6       | 2     | 0     | 6      |
      | 860   | 18      | 4     | 0     | 3      |
      | 300   | 100     | 32    | 0     | 3      |

  Scenario Outline: A dependency at <shares> of its capacity
    # Guards against a flood on a recovering dependency, and ejections it causes.
    Given dependencies where pedidos needs precios, which needs tablas
    When the dependency tablas has capacity <shares> over 10 s each
    Then the dependency admits <admitted> of pedidos and <suppressed> ejection

    Examples:
      | shares          | admitted | suppressed          |
      | 1.0             | 1.0      | does not suppress   |
      | 0.6             | 1.0      | does not suppress   |
      | 0.4             | 1.0      | suppresses          |
      | 0.4, 0.6        | 1.0      | suppresses          |
      | 0.4, 0.72       | 0.8      | suppresses          |
      | 0.1, 0.72, 0.54 | 0.6      | suppresses          |
      | 0.4, 0.72, 1.0  | 1.0      | does not suppress   |

  Scenario Outline: A fallback at <shares> of the service's capacity
    # Guards against traffic that jumps between a service and its fallback.
    Given dependencies where pedidos falls back on copia
    When the dependency pedidos has capacity <shares> over 15 s each
    Then the dependency sends <diverted> of pedidos to its fallback

    Examples:
      | shares             | diverted |
      | 1.0                | 0.0      |
      | 0.4                | 1.0      |
      | 0.4, 0.52          | 1.0      |
      | 0.4, 0.7           | 0.5      |
      | 0.4, 0.7, 0.52     | 0.0      |
      | 0.4, 0.7, 0.4      | 1.0      |
