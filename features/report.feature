Feature: The burn report

  Scenario: report: The windows hold what a naive recount finds
    Then report: any sequence of requests is counted in each window like a recount

  Scenario: report: The faster histogram counts like the library's
    Then report: any latencies give the same histogram as the library's method

  Scenario: report: Merging the parts of hosts loses and doubles nothing
    Then report: any requests spread over hosts merge to the recount of all

  Scenario Outline: report: A <outcome> <status> after <ms> ms is <judgement>
    Given report: a ledger with an objective of 250 ms
    When report: an attempt on t-1 ends as <kind> after <attempt_ms> ms
    And report: the caller gets <status> <outcome> <reason> after <ms> ms
    Then report: the request is <judgement>, spent by <spender>

    Examples:
      | kind                | attempt_ms | status | outcome  | reason            | ms  | judgement | spender                      |
      | ok                  | 90         | 200    | answered | ok                | 250 | good      | nobody                       |
      | ok                  | 90         | 404    | answered | ok                | 100 | good      | nobody                       |
      | ok                  | 290        | 200    | answered | ok                | 300 | bad       | target t-1 in a, slow        |
      | ok                  | 90         | 200    | answered | ok                | 300 | bad       | fleet, waiting               |
      | error_status        | 9          | 500    | answered | ok                | 10  | bad       | target t-1 in a, error_status |
      | none                | 0          | 500    | answered | recorded          | 10  | bad       | fleet, recorded              |
      | timeout             | 900        | 504    | unknown  | target-timeout    | 900 | bad       | target t-1 in a, timeout     |
      | refused_not_started | 9          | 503    | not-run  | targets-refused   | 10  | bad       | target t-1 in a, refused_not_started |
      | none                | 0          | 503    | not-run  | no-target         | 10  | bad       | fleet, no-target             |
      | none                | 0          | 503    | not-run  | overloaded        | 10  | bad       | fleet, overloaded            |
      | silent              | 900        | 504    | unknown  | deadline-passed   | 999 | bad       | target t-1 in a, silent      |
      | none                | 0          | 503    | not-run  | crash-quarantine  | 10  | bad       | fleet, crash-quarantine      |
      | none                | 0          | 409    | unknown  | claim-held        | 10  | bad       | fleet, claim-held            |
      | none                | 0          | 422    | unknown  | key-reused        | 10  | excluded  | nobody                       |
      | cancelled           | 9          | 413    | not-run  | body-too-large    | 10  | excluded  | nobody                       |

  Scenario Outline: report: A streamed answer that ends as <end> is <judgement>
    Given report: a ledger with an objective of 250 ms
    When report: a streamed answer with status 200 ends as <end> after <ms> ms
    Then report: the request is <judgement>, spent by <spender>

    Examples:
      | end    | ms  | judgement | spender                 |
      | whole  | 200 | good      | nobody                  |
      | whole  | 300 | bad       | target t-1 in a, slow   |
      | broken | 10  | bad       | target t-1 in a, broken |
      | silent | 10  | bad       | target t-1 in a, timeout |
      | left   | 10  | excluded  | nobody                  |

  Scenario: report: A sick dependency is the spender, not the target that waits for it
    Given report: a ledger with an objective of 250 ms
    And report: the targets wait for a sick dependency
    When report: an attempt on t-1 ends as timeout after 900 ms
    And report: the caller gets 504 unknown target-timeout after 900 ms
    Then report: the request is bad, spent by dependency stock, timeout

  Scenario: report: Many spenders take bounded memory and none is lost
    Given report: a ledger with an objective of 250 ms
    When report: 500 targets fail one request each, and 10 s later 500 others
    Then report: at most 33 spenders are kept and they spent 1000 requests

  Scenario: report: Percentiles cover the last 6 to 12 hours
    Given report: a ledger with an objective of 250 ms
    When report: requests are answered after 0, 7, 13 and 40 hours
    Then report: the percentiles cover 1, 2, 2 and 1 requests

  Scenario: report: The budget is figured from what is known of it
    Given report: 2 hosts that run for 3 and 30 hours, and one that is silent
    Then report: half of the budget is left, known for 30 hours of 30 days
    And report: the text names the silent host and that replaced hosts took their part

  Scenario Outline: report: A part with <fault> is refused by name, and the rest counts
    Then report: a part with <fault> is reported as <error>

    Examples:
      | fault           | error                |
      | no JSON object  | malformed report     |
      | another format  | report format 99     |
      | no services     | malformed report     |
      | a cut histogram | malformed            |

  Scenario: report: The incident log is bounded, counts repeats and orders hosts by time
    Then report: 3 equal outages become one incident with its count and reason
    And report: of 1005 different incidents the newest 1000 are kept
    And report: incidents of two hosts are merged in the order of time

  Scenario: report: The page is self-contained, well-formed and escapes foreign names
    Then report: a page about hostile names loads nothing and runs nothing

  Scenario: report: The metrics page written in steps is the library's
    Then report: the metrics page in steps has the lines that the library writes

  Scenario: report: A request that ends with a fault of the program counts as bad
    Then report: a pipeline whose attempts fail counts a bad request of the fleet

  Scenario Outline: report: With log level <level> the log holds <written>
    Then report: with log level <level> the log holds <written>

    Examples:
      | level   | written                    |
      | debug   | debug, info, warning, error |
      | info    | info, warning, error       |
      | warning | warning, error             |
      | error   | error                      |

  Scenario: report: A gray target shows as the spender in a real fleet
    Given report: a local fleet whose target pedidos-02 fails its work
    When report: orders are sent until some failed and the target is ejected
    Then report: oleanderctl report names pedidos-02 as the only spender
    And report: the incidents hold its ejection with the reason that explain prints
    And report: a scrape parses, with units in names and the ejected target counted
    And report: after a host is killed the report says which part is missing

  Scenario: report: A streamed answer that its target breaks off spends budget
    Given report: a fleet of one host and one target
    When report: a caller gets 300000 bytes, and another one leaves in the middle
    And report: the target is killed in the middle of a long answer
    Then report: 1 request is good, 1 is bad, 1 is not counted
