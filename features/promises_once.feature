Feature: Orders run at most once, and "not run" can be relied on
  Guards P3 and P4 on real processes: orders resent at other hosts around each fault
  of a claim's life, and an audit of many orders against the targets' ledgers.

  Scenario: An audit of orders under load finds no duplicate and no false not-run
    Given the promises_once fleet
    When promises_once load with seed 7 meets broken targets and killed daemons
    Then the promises_once audit finds 0 duplicates and 0 false not-run
    And the promises_once answers were whole and the callers' own

  Scenario: The holders that the faults meet are those of the order
    Given the promises_once fleet
    When a promises_once order is resent after its end
    Then the promises_once order ran at most once and nobody was wrongly told not-run
    And the promises_once claim was with the chosen holders

  Scenario Outline: An order is resent <fault>
    Given the promises_once fleet
    When a promises_once order is resent <fault>
    Then the promises_once order ran at most once and nobody was wrongly told not-run
    And the promises_once resends were told <told>

    Examples:
      | fault                                 | told                                                                      |
      | while it runs                         | unknown:claim-held unknown:claim-held                                     |
      | after its end                         | answered:recorded answered:recorded                                       |
      | after its entry was killed            | unknown:claim-held unknown:claim-held                                     |
      | with a holder killed before           | answered:recorded answered:recorded                                       |
      | with a holder killed in between       | answered:recorded answered:recorded                                       |
      | with a holder frozen                  | answered:recorded answered:recorded answered:recorded answered:recorded   |
      | with the entry's messages lost        | answered:ok answered:recorded answered:recorded answered:recorded         |
      | with the answers to the entry lost    | answered:ok answered:recorded answered:recorded answered:recorded         |
      | with a holder's answers lost          | answered:recorded answered:recorded answered:recorded answered:recorded   |
      | with its completion lost              | unknown:claim-held unknown:claim-held                                     |
      | with its entry frozen before dispatch | unknown:claim-held unknown:claim-held answered:ok answered:recorded       |
      | with a holder replaced                | answered:recorded answered:recorded answered:recorded                     |
      | with all holders restarted            | unknown:claim-unavailable unknown:claim-unavailable                       |
