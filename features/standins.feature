Feature: The stand-ins of the platform and of targets
  Other tests rest on them, so each behaviour that those rely on is tested here.

  Scenario Outline: Programs end cleanly on SIGTERM
    Given the stand-in <program> runs
    When the stand-in is sent SIGTERM
    Then the stand-in exit code is 0

    Examples:
      | program  |
      | platform |
      | target   |
      | naive    |

  Scenario: A paused process answers after it goes on
    Given the stand-in target runs
    When the stand-in is paused and sent a request
    Then the stand-in gives no answer within 0.2 s
    When the stand-in is resumed
    Then the stand-in pending request is answered with status 200

  Scenario Outline: Compare-and-swap writes only over the expected version
    Given the stand-in platform runs
    And the stand-in store key "config/head" was written <writes> times
    When the stand-in store key "config/head" is put expecting version <expected>
    Then the stand-in answers with status <status>
    And the stand-in store key "config/head" has version <version>

    Examples:
      | writes | expected | status | version |
      | 0      | 0        | 200    | 1       |
      | 0      | 1        | 409    | 0       |
      | 2      | 0        | 409    | 2       |
      | 2      | 1        | 409    | 2       |
      | 2      | 2        | 200    | 3       |
      | 2      | null     | 200    | 3       |

  Scenario: Of racing writers exactly one wins
    Given the stand-in platform runs
    When 8 stand-in writers race to put "config/head" expecting version 0
    Then the stand-in statuses are 200 once and 409 otherwise

  Scenario: A lost answer hides a write that took effect
    Given the stand-in platform runs
    And the stand-in platform faults are {"mode": "lose_answers", "count": 1}
    When the stand-in store key "config/head" is put expecting version 0
    Then the stand-in connection ends without an answer
    And the stand-in store key "config/head" has version 1
    When the stand-in store key "config/head" is put expecting version 1
    Then the stand-in answers with status 200

  Scenario Outline: A store that is down fails calls, but not its control paths
    Given the stand-in platform runs
    And a stand-in watch waits for "config/head" after version 0
    When the stand-in platform faults are {"mode": "down", "answer": "<answer>"}
    Then the stand-in watch ends with <result>
    When the stand-in platform faults are {"mode": "ok"}
    And the stand-in store key "config/head" is put expecting version 0
    Then the stand-in answers with status 200

    Examples:
      | answer | result    |
      | close  | no answer |
      | 503    | 503       |

  Scenario: A watch waits for the next version
    Given the stand-in platform runs
    And the stand-in store key "config/head" was written 1 times
    And a stand-in watch waits for "config/head" after version 1
    When the stand-in store key "config/head" is put expecting version 1
    Then the stand-in watch ends with 200
    And the stand-in watch tells version 2

  Scenario: A watch times out without a change
    Given the stand-in platform runs
    When a stand-in GET asks for "/kv/a?watch_after=0&timeout_s=0.05"
    Then the stand-in answers with status 204

  Scenario: A key disappears when its lease lapses, and the lapse is final
    Given the stand-in platform runs
    And the stand-in store key "members/h1" is bound to a lease of 0.2 s
    And a stand-in watch waits for "members/h1" after version 1
    Then the stand-in watch ends with 404
    And the stand-in lease cannot be renewed

  Scenario Outline: Values are limited to 1,000,000 bytes
    Given the stand-in platform runs
    When a stand-in value of <bytes> bytes is put
    Then the stand-in answers with status <status>

    Examples:
      | bytes   | status |
      | 1000000 | 200    |
      | 1000001 | 413    |

  Scenario: Calls are counted by cause, key prefix and kind
    Given the stand-in platform runs
    And the stand-in store key "config/head" was written 2 times
    When a stand-in GET asks for "/kv/config/head"
    And a stand-in GET asks for "/kv/config/head?watch_after=9&timeout_s=0"
    And a stand-in GET asks for "/hosts"
    Then the stand-in call counts are
      | cause | prefix | kind  | calls |
      | test  | config | read  | 1     |
      | test  | config | watch | 1     |
      | test  | config | write | 2     |
      | test  | hosts  | read  | 1     |

  Scenario: The host list lags behind its changes
    Given the stand-in platform runs
    When the stand-in host list is set to "h1" with a lag of 3600 s
    And a stand-in GET asks for "/hosts?after=1"
    Then the stand-in answers with status 204
    When the stand-in host list is set to "h1" with a lag of 0 s
    And a stand-in GET asks for "/hosts?after=1"
    Then the stand-in answers with status 200

  Scenario Outline: Slots run, the queue waits, the rest is shed before start
    Given the stand-in target runs with --slots <slots> --queue <queue>
    When <requests> stand-in requests of 60000 ms are sent
    Then the stand-in target has <slots> busy, <queue> queued and <shed> refused as "shed"
    And the stand-in ledger has <slots> rows

    Examples:
      | slots | queue | requests | shed |
      | 2     | 0     | 3        | 1    |
      | 1     | 2     | 5        | 2    |

  Scenario: A deep queue of short requests is served without recursion
    Then 5000 queued stand-in requests that end at once are all served

  Scenario: Closing the connection cancels a run and frees its slot for the queue
    Given the stand-in target runs with --slots 1 --queue 1
    When 2 stand-in requests of 60000 ms are sent
    And the stand-in caller closes the first connection
    Then the stand-in ledger outcomes are "cancelled running"

  Scenario: A finished run is not marked as cancelled
    Given the stand-in target runs
    And the stand-in target modes are {"freeze_answers": true}
    When 1 stand-in requests of 1 ms are sent
    Then the stand-in ledger outcomes are "finished"
    When the stand-in caller closes the first connection
    Then the stand-in target has 0 busy, 0 queued and 0 refused as "shed"
    And the stand-in ledger outcomes are "finished"

  Scenario Outline: A target refuses late work that has not started
    Given the stand-in target runs
    When a stand-in request has its deadline <offset_ms> ms from now
    Then the stand-in answers with status <status>
    And the stand-in ledger has <runs> rows

    Examples:
      | offset_ms | status | runs |
      | -1        | 503    | 0    |
      | 60000     | 200    | 1    |

  Scenario: A queued request is refused once its deadline has passed
    Given the stand-in target runs with --slots 1 --queue 1
    When 1 stand-in requests of 60000 ms are sent
    And a stand-in request is queued with its deadline 200 ms from now
    And the stand-in caller closes the first connection after that deadline
    Then the stand-in refuses the queued request as "deadline"
    And the stand-in ledger has 1 rows

  Scenario Outline: A draining target announces it, then refuses new work
    Given the stand-in target runs
    And the stand-in target modes are {"drain": {"grace_s": <grace_s>}}
    When a stand-in GET asks for "<path>"
    Then the stand-in answers with status <status>
    And the stand-in answer has the headers "<headers>"

    Examples:
      | grace_s | path     | status | headers                                             |
      | 60      | /work    | 200    | Connection=close X-Draining=1                       |
      | 0       | /work    | 503    | X-Not-Started=1 X-Refusal-Reason=draining X-Draining=1 |
      | 60      | /healthz | 503    | Connection=close X-Draining=1                       |

  Scenario Outline: Gray modes hit real work; probes pass where they are spared
    Given the stand-in target runs
    And the stand-in target modes are <modes>
    When a stand-in GET asks for "<path>"
    Then the stand-in answers with status <status>

    Examples:
      | modes                                                          | path     | status |
      | {"fail_share": {"share": 1, "status": 502}}                    | /work    | 502    |
      | {"fail_share": {"share": 1, "status": 502}}                    | /healthz | 502    |
      | {"fail_share": {"share": 1}, "fail_only_real": true}           | /healthz | 200    |
      | {"flap": {"period_s": 3600}}                                   | /work    | 500    |
      | {"slow_for": {"domains": ["mvd-b"], "add_ms": 60000}}          | /work    | 200    |
      | {"partition": {"domains": ["mvd-b"], "way": "to_entry"}}       | /work    | 200    |
      | {"cold": {"cold_s": 3600, "factor": 1, "share": 0}}            | /work    | 503    |
      | {"crash_on": "other"}                                          | /work    | 200    |

  Scenario Outline: Requests that get no answer
    Given the stand-in target runs
    And a stand-in connection is open
    And the stand-in target modes are <modes>
    When the stand-in open connection carries a request from "mvd-a"
    Then the stand-in gives no answer within 0.2 s
    And the stand-in ledger has <runs> rows besides the first
    And the stand-in target answers "mvd-c" on a new connection <new>

    Examples:
      | modes                                                     | runs | new |
      | {"silent": true}                                          | 0    | yes |
      | {"freeze_answers": true}                                  | 1    | no  |
      | {"slow_for": {"domains": ["mvd-a"], "add_ms": 60000}}     | 1    | yes |
      | {"partition": {"domains": ["mvd-a"], "way": "to_target"}} | 0    | yes |
      | {"partition": {"domains": ["mvd-a"], "way": "to_entry"}}  | 1    | yes |

  Scenario: A probe needs a slot
    Given the stand-in target runs with --slots 1
    When 1 stand-in requests of 60000 ms are sent
    And a stand-in GET asks for "/healthz"
    Then the stand-in answers with status 503

  Scenario: The reported load lags
    Given the stand-in target runs with --load-lag-s 3600
    When 1 stand-in requests of 60000 ms are sent
    Then the stand-in load reports 0 busy slots

  Scenario Outline: Bodies pass whole in both framings
    Given the stand-in target runs
    When a stand-in body of <sent> bytes is sent <framing> for an answer of <wanted> bytes, chunked <chunked>
    Then the stand-in answer and its echo are right

    Examples:
      | sent    | framing     | wanted  | chunked |
      | 0       | with length | 0       | 0       |
      | 10      | with length | 64      | 1       |
      | 10      | in chunks   | 65537   | 0       |
      | 3000000 | with length | 1000000 | 1       |
      | 3000000 | in chunks   | 1000000 | 0       |

  Scenario: An answer can break off in its middle
    Given the stand-in target runs
    And the stand-in target modes are {"break_midway": 1}
    When a stand-in GET asks for "/work"
    Then the stand-in connection ends without an answer
    And the stand-in ledger outcomes are "finished"

  Scenario: A crash marker ends the process, and the ledger file keeps the run
    Given the stand-in target runs with --ledger-file LEDGER
    And the stand-in target modes are {"crash_on": "poison"}
    When a stand-in request carries the crash marker "poison"
    Then the stand-in connection ends without an answer
    And the stand-in exit code is 70
    When the stand-in is started again
    Then the stand-in ledger outcomes are "lost"

  Scenario: The naive relay retries and excludes a failing target
    Given a stand-in naive relay over 2 targets, the first with {"fail_share": 1}
    When 12 stand-in requests are sent one after another
    Then all stand-in statuses are 200
    And the stand-in first target has run 3 requests

  Scenario: The load command finds doubled orders of the naive relay
    Given a stand-in naive relay over 2 targets, the first with {"break_midway": 1}
    When a stand-in load of 40 orders a second is sent for 0.5 s
    Then the stand-in report counts every run and finds doubled orders

  # Guards against an audit that misses the runs of a target that starts again late.
  Scenario: The audit waits for a target that is started again after the load
    Given a stand-in naive relay over 2 targets, the first with {}
    When the stand-in first target is killed and restarted 1.5 s after a load of 0.5 s
    Then the stand-in audit reached every ledger

  Scenario: The same seed plans the same load
    Then stand-in plans with seeds 7 and 7 are equal, 7 and 8 differ

  Scenario Outline: The audit compares what callers were told with the ledgers
    When a stand-in audit sees a keyed request told "<told>" and runs "<runs>"
    Then the stand-in audit finds "<finding>"

    Examples:
      | told             | runs                  | finding             |
      | answered         | 1:finished            | nothing             |
      | not-run          |                       | nothing             |
      | not-run answered | 2:finished            | nothing             |
      | not-run          | 1:finished            | false_not_run not_run_but_key_ran |
      | not-run          | 1:lost                | false_not_run not_run_but_key_ran |
      | unknown not-run  | 1:cancelled           | not_run_but_key_ran |
      | unknown answered | 1:finished 2:finished | duplicate_starts duplicate_finishes |
      | unknown unknown  | 1:cancelled 2:running | duplicate_starts    |
      | answered         |                       | success_without_run |
