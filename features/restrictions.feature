Feature: What targets ask of a host by headers of their answers

  # Guards against a target that is kept out of use for ever, or not at all, by a strange
  # Retry-After header.
  Scenario Outline: A Retry-After of "<hint>" is a pause of <pause>
    Then restrictions: "<hint>" is read as a pause of <pause>

    Examples:
      | hint                          | pause   |
      | 2                             | 2.0 s   |
      | 0.25                          | 0.25 s  |
      | 1e1                           | 10.0 s  |
      | 86400                         | 300.0 s |
      | 0                             | nothing |
      | -3                            | nothing |
      | nan                           | nothing |
      | inf                           | nothing |
      | soon                          | nothing |
      | Wed, 21 Oct 2026 07:28:00 GMT | nothing |

  # Guards against requests to a target that said that it will stop (DRAIN), after its
  # registration came and went, and against a restarted target that gets no requests.
  Scenario Outline: A target that said in an answer that it stops, then <change>, is <use>
    Then restrictions: a leaving target that <change> is <use>

    Examples:
      | change                                      | use    |
      | is still registered as ready                | unused |
      | loses its registration and has it again     | unused |
      | is registered by bytes that can't be read   | unused |
      | is registered first after the news          | unused |
      | starts again under its id                   | used   |
      | starts again, and late news of it arrives   | used   |
      | is replaced by another id at its address    | used   |

  # Guards against requests to a target within the time in which it asked for none
  # (BUDGET), whatever they are: first sends, repeats, hedges or exploration.
  Scenario Outline: A target that asked for <pause> s gets no <kind> requests until then
    Then restrictions: of targets that ask for <pause> s, none gets <kind> requests within it

    Examples:
      | kind       | pause |
      | once       | 0.5   |
      | idempotent | 0.5   |

  # Guards against refusals that bring all callers back in the same moment.
  Scenario: Callers that all targets turn away come back one by one
    Then restrictions: 40 callers are refused at once and told to return after the shortest pause, at different times
