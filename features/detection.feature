Feature: Pooled detection of gray failures

  Scenario Outline: A malformed state chart is refused: <fault>
    # Guards against a chart file that silently lacks a state of the code.
    Given the detection chart with <fault>
    Then loading the detection chart fails at <path>

    Examples:
      | fault               | path             |
      | broken JSON         | $                |
      | a missing field     | $                |
      | an unknown state    | $.transitions[0] |
      | an unknown event    | $.transitions[0] |
      | an undeclared state | $.states         |
      | an unreachable state| $.states         |
      | an ambiguous event  | $.transitions[1] |

  Scenario: The windows agree with a recount of the whole history
    # Guards against drift of the incremental totals when slices expire.
    Then the detection windows equal the naive ones for any outcomes

  Scenario: The floor holds at the moment of every ejection
    # Guards against several ejections in one round that each saw the same capacity.
    Then the detection floor equals a replay of the history for any findings

  Scenario Outline: The gray mode <mode> is found in time and nothing else is ejected
    # Guards against modes that probes or a single host do not see.
    When the detection trial runs <mode> for <limit_s> s on the fleet <fleet>
    Then the detection trial found each sick target in nine tenths of the hosts
    And the detection trial ejected no healthy target

    Examples:
      | mode           | fleet | limit_s |
      | errors_all     | 25x2  | 5       |
      | errors_half    | 25x2  | 15      |
      | connect_failed | 30x4  | 4       |
      | slow_all       | 25x2  | 8       |
      | slow_fifth     | 25x2  | 80      |
      | flapping       | 30x4  | 30      |
      | one_way        | 25x2  | 20      |
      | service_slow   | 25x2  | 20      |
      | service_errors | 25x2  | 20      |

  Scenario: A noisy healthy service loses no target
    # Guards against false ejections from bursts and from one host's bad network.
    When the detection trial runs loud noise for 6 host-hours
    Then the detection trial ejected no healthy target

  Scenario Outline: Which outcomes of one target count: <outcomes>
    # Guards against shed load, cancellations or long requests taken for sickness.
    Given a detection pool of <targets> targets with steady traffic
    When one detection target shows <count> times <kind> of class <class> after <s> s
    Then the detection target is <state> by the signal <signal>

    Examples:
      | outcomes       | targets | count | kind                | class | s    | state   | signal         |
      | refusals       | 10      | 50    | REFUSED_NOT_STARTED | QUICK | 0.01 | HEALTHY | none           |
      | cancellations  | 10      | 50    | CANCELLED           | QUICK | 0.01 | HEALTHY | none           |
      | long uploads   | 10      | 50    | OK                  | LONG  | 30   | HEALTHY | none           |
      | slow answers   | 10      | 50    | OK                  | QUICK | 3    | EJECTED | slow           |
      | bad status     | 10      | 30    | ERROR_STATUS        | QUICK | 0.01 | EJECTED | wrong_status   |
      | few bad ones   | 10      | 4     | ERROR_STATUS        | QUICK | 0.01 | SUSPECT | wrong_status   |
      | hard failures  | 10      | 4     | CONNECT_FAILED      | QUICK | 0.01 | EJECTED | connect_failed |
      | timeouts       | 10      | 4     | TIMEOUT             | QUICK | 1    | EJECTED | timeout        |
      | broken answers | 10      | 4     | BROKEN              | QUICK | 0.01 | EJECTED | broken         |
      | silence        | 10      | 30    | SILENT              | QUICK | 1    | EJECTED | silence        |
      | six targets    | 6       | 4     | BROKEN              | QUICK | 0.01 | EJECTED | broken         |
      | two targets    | 2       | 4     | BROKEN              | QUICK | 0.01 | SUSPECT | broken         |
      | two, dead      | 2       | 12    | BROKEN              | QUICK | 0.01 | EJECTED | broken         |
      | two, slow      | 2       | 50    | OK                  | QUICK | 3    | EJECTED | slow           |

  Scenario: Failures and successes of one report make no run
    # Guards against a run of failures that only the order inside a report made.
    Given a detection pool of 10 targets with steady traffic
    When one detection report brings 3 BROKEN and 20 OK of weight 1
    Then the detection target is HEALTHY by the signal none

  Scenario: A sampled success counts with its weight
    # Guards against a failure share that sampling of successes inflates.
    Given a detection pool of 10 targets with steady traffic
    When one detection report brings 8 ERROR_STATUS and 5 OK of weight 40
    Then the detection target is HEALTHY by the signal none

  Scenario Outline: Nothing is ejected when <reason>
    # Guards against ejection that makes a fault of the whole service worse.
    Given a detection pool of 10 targets with steady traffic
    And the detection dependency is <dependency>
    When <sick> detection targets break all requests, one after the other
    Then at most <ejected> detection targets are ejected because of <restraint>

    Examples:
      | reason                | dependency | sick | ejected | restraint              |
      | most targets are sick | well       | 8    | 5       | most_targets_look_sick |
      | a dependency is sick  | sick       | 2    | 0       | dependency_sick        |

  Scenario: Probes alone never clear a target
    # Guards against a gray target that answers probes and fails real work.
    Given a detection pool of 10 targets with steady traffic
    When one detection target is ejected and answers probes for 30 s
    Then the detection target is PROBATION by the signal broken
    When the detection target answers 8 real requests
    Then the detection target is RAMPING by the signal none
    And the detection target is healthy after its ramp

  Scenario: Deaths by a crash-causing request are excused
    # Guards against one request that ejects each target it reaches.
    Given a detection pool of 10 targets with steady traffic
    When one detection target dies of a crash-causing request
    Then the detection target is PROBATION by the signal broken

  Scenario: Each repeated ejection doubles, and long health forgets
    # Guards against flapping targets that return every few seconds.
    Given a detection pool of 10 targets with steady traffic
    Then repeated detection ejections last 5, 10, 20, 40, 80, 160, 300 and 300 s
    And after 900 s of health the detection ejection lasts 80 s

  Scenario: Lost capacity readmits the least sick
    # Guards against an ejection that was allowed before other targets left.
    Given a detection pool of 10 targets with steady traffic
    When two detection targets are ejected and others drain down to the floor
    Then the least sick detection target is readmitted at low weight
    And cold detection targets do not count for the floor

  Scenario: A verdict's reason survives the peer protocol
    # Guards against verdicts that reach the operator without their figures.
    Then every detection reason is the same after encoding
