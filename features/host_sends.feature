Feature: What a host sends and what it then tells the caller

  # Guards against a second run of what may run once, a false "not run", and sends
  # beyond the route's bound or after the caller has left.
  Scenario Outline: Any ends of sends keep <kind> requests within their promises
    Then host sends: any ends of the sends of <kind> requests keep the promises

    Examples:
      | kind       |
      | once       |
      | idempotent |

  Scenario Outline: A caller who leaves ends all sends of <kind> requests
    Then host sends: no send of <kind> requests goes on after the caller has left

    Examples:
      | kind       |
      | once       |
      | idempotent |

  # Guards against five minutes of refusals for a lookup that many callers send, because
  # targets that it did not end died while they ran it.
  Scenario Outline: A common lookup is served on after <deaths>
    Then host sends: a common lookup is not refused after <deaths>

    Examples:
      | deaths                                        |
      | two targets died at the same moment           |
      | two targets died and it was served in between |

  Scenario: A request that ends one target after another is refused
    Then host sends: a request whose repeat ended a second target is refused

  # Guards against a limit that grows with the targets that can't be reached.
  Scenario: host sends: A request that is offered to several targets counts once
    Then host sends: a request that 3 targets refuse to connect counts as 1 first send
