Feature: Requests that crash their targets, and targets that are only slow

  # Guards against a request that ends one target after another and is never refused,
  # because its crashes did not show as a broken connection (BUDGET).
  Scenario Outline: A request is refused after <needed> sends that end as <end> at targets that are then <state>
    Then crash evidence: after <needed> sends with the end <end>, targets <state>, it is refused, and not before

    Examples:
      | end                 | state  | needed |
      | broken              | ended  | 2      |
      | broken              | silent | 3      |
      | silent              | silent | 3      |
      | silent              | ended  | 2      |
      | broken off midway   | ended  | 2      |
      | broken off midway   | silent | 3      |
      | closed, no length   | ended  | 2      |
      | closed, no length   | silent | 3      |
      | stalled midway      | silent | 3      |

  # Guards against refusals of sound requests.
  Scenario Outline: A request is served on after five sends that end as <end> at targets that run
    Then crash evidence: after five sends with the end <end>, targets running, it is not refused

    Examples:
      | end               |
      | broken            |
      | silent            |
      | broken off midway |
      | stalled midway    |

  Scenario Outline: A sound request is not refused when <case>
    Then crash evidence: five silent targets refuse nothing when <case>

    Examples:
      | case                                           |
      | they were silent before it was sent            |
      | they have answered later requests              |
      | the host hears no other host                   |
      | it was sent to all of them at the same moment  |
      | it is served in between                        |

  Scenario Outline: Crashes <crashes> are <verdict>
    Then crash evidence: the crashes <crashes> are <verdict>

    # Of each crash: target, when the request was sent and when the crash was noticed, and
    # "s" if it showed as silence only.
    Examples:
      | crashes                          | verdict   |
      | a 0 1, b 2 3                     | refused   |
      | a 0 1 s, b 2 3 s                 | suspected |
      | a 0 1 s, b 2 3 s, c 4 5 s        | refused   |
      | a 0 1 s, b 2 3 s, a 4 5 s        | suspected |
      | a 0 1 s, b 0.5 3 s, c 0.6 2 s    | suspected |
      | a 0 1, b 2 3 s                   | suspected |
      | a 0 1, b 2 3 s, c 4 5            | refused   |
      | a 0 1 s, b 2 3, c 3.5 4 s        | refused   |
      | a 0 1, b 0.5 1.5                 | suspected |
      | a 0 1, b 0.5 1.5, c 2 3          | refused   |

  # Guards against a verdict that depends on which host's notice arrives first.
  Scenario: The order of the notices does not change the verdict
    Then crash evidence: any order of the same crashes gives the same verdict

  Scenario Outline: A target that <history> <verdict> by a request sent at 10 s
    Then crash evidence: a target that <history>: it <verdict> silent by a request sent at 10 s

    Examples:
      | history                                           | verdict           |
      | was never heard                                   | may have become   |
      | answered a request of 9.9 s                       | may have become   |
      | answered a request of 10.1 s                      | may have become   |
      | answered a request of 10.4 s                      | has not become    |
      | left a request of 9.8 s unanswered                | may have become   |
      | left a request of 9.4 s unanswered                | has not become    |
      | left a request of 9.4 s unanswered, answered one of 9.6 s | may have become |
      | answered a request of 9.6 s, left one of 9.4 s unanswered | may have become |

  # Guards against a check that takes an idle or a queued connection for a sign of life.
  Scenario Outline: A check of a target that <does> finds it <state>
    Then crash evidence: a check of a target that <does> finds it <state>

    Examples:
      | does                                     | state   |
      | accepts connections and answers nothing  | running |
      | refuses connections                      | ended   |
      | leaves connections unanswered            | silent  |

  # Guards against a notice of another host that is taken for stronger evidence than it is.
  Scenario Outline: A notice of <crashes> from other hosts <verdict>
    Then crash evidence: notices of <crashes>: they <verdict> the request

    Examples:
      | crashes                | verdict        |
      | two ended targets      | refuse         |
      | two silent targets     | do not refuse  |
      | three silent targets   | refuse         |
