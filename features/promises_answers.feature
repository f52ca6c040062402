Feature: Whole answers, crash-causing requests and leaving targets
  Guards P2, P5, F8 and F9 on real processes.

  Scenario: Callers get their own whole answer or none
    Given the promises_answers fleet
    When promises_answers load with seed 31 meets broken, late and silent answers
    Then the promises_answers callers got only whole answers of their own
    And the promises_answers orders ran at most once

  Scenario Outline: A request that crashes its targets is refused (<kind>)
    Given the promises_answers fleet
    When a promises_answers request of kind "<kind>" crashes its targets again and again
    Then at most <deaths> promises_answers targets die and it is refused <refusal>
    And other promises_answers requests of the service are served

    # The fingerprint is refused after the second death. A resend may kill a third
    # target while the other hosts are told.
    Examples:
      | kind | deaths | refusal                  |
      | get  | 3      | not-run:crash-quarantine |
      | post | 3      | unknown:crash-quarantine |
      | key  | 1      | unknown:claim-held       |

  Scenario Outline: A leaving target gets no new work after 3 s (<way>)
    Given the promises_answers fleet
    When a promises_answers target of "<service>" leaves by <way>
    Then the promises_answers leaver got no new work after 3 s
    And the promises_answers work in flight ended well and all callers were served

    Examples:
      | service  | way          |
      | listed   | list         |
      | draining | drain answer |

  # The first limit of two requests a host lets two slow orders hold up all others
  # while most slots of the service are free.
  Scenario: Slow orders on hosts without history hold up no lookup
    Given the promises_answers fleet
    When promises_answers hosts without history get slow orders and lookups
    Then all promises_answers callers were served
