Feature: The comparison with the naive relays

  # Guards against a detection time taken from a pause between two faults, or from
  # a pause that is too short to mean that the target was left out.
  Scenario Outline: Detection ends with the last run before the first gap
    When the bench looks for a gap of 2 s from 10 to <until> in runs at <runs>
    Then the bench finds the gap at <found>

    Examples:
      | until | runs                      | found |
      | 20    | 10.5 11 12 13             | 13    |
      | 20    | 9 10.5 11 14 15           | 11    |
      | 20    | 18 11 13 12 14.5          | 14.5  |
      | 20    | 11 12 13 14 15 16 17 18.5 | none  |
      | 20    | 9 21                      | 10    |

  # Guards against a mechanism that is renamed: replacing nothing would measure the
  # whole product under the name of the ablation.
  Scenario Outline: A daemon can be started without <mechanism>
    When the bench starts a daemon without <mechanism> and without settings
    Then the bench daemon ends for its settings alone

    Examples:
      | mechanism         |
      | pooled-detection  |
      | quick-reservation |
      | deadline-queue    |
      | retry-budget      |

  # Guards against callers that resend to the product and not to the naive relay,
  # which sends no outcome header.
  Scenario Outline: Callers resend by the status of an answer without outcome
    Given a bench resend policy for statuses 502 and 503
    Then the bench resends attempt <attempt> with outcome <outcome> and status <status>: <resent>

    Examples:
      | attempt | outcome  | status | resent |
      | 1       | none     | 503    | yes    |
      | 1       | none     | 500    | no     |
      | 1       | none     | 200    | no     |
      | 1       | not-run  | 503    | yes    |
      | 1       | answered | 200    | no     |
      | 3       | not-run  | 503    | no     |

  # Guards against refusals that look like fast answers in a percentile.
  Scenario: A request without a good answer counts with its deadline
    Given a bench request refused after 10 ms with a deadline of 800 ms
    Then the bench counts 800 ms for it
