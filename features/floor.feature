Feature: The floor of targets in use while requests fail

  # Guards against sound targets that get nothing for 2 s, beside others that lose the
  # answers of requests which may run only once (FLOOR, badgebridge-tt-grown trouble-1).
  Scenario Outline: Sound targets stay in use while <lossy> of <targets> targets lose answers, seed <seed>
    Given floor: <targets> targets, of which each has gray phases, and <lossy> lose half of their answers for 6 s
    When floor: <per_s> requests a second that may run once are sent for 20 s, seed <seed>
    Then floor: in any 2 s in which a tenth to half of them fail, at least 0.7 of the sound targets get some

    Examples:
      | targets | lossy | per_s | seed |
      | 73      | 37    | 150   | 1    |
      | 73      | 37    | 150   | 2    |
      | 73      | 50    | 150   | 3    |
      | 25      | 12    | 60    | 4    |

  # Guards against a floor that stays broken: before a failed request is known nothing can
  # be done, then every target is due.
  Scenario Outline: A broken floor is mended at once while <lossy> of <targets> targets lose answers, seed <seed>
    Given floor: <targets> targets, of which each has gray phases, and <lossy> lose half of their answers for 6 s
    When floor: <per_s> requests a second that may run once are sent for 20 s, seed <seed>
    Then floor: less than 0.7 of the sound targets get some for no longer than 0.6 s at a time

    Examples:
      | targets | lossy | per_s | seed |
      | 73      | 37    | 150   | 1    |
      | 73      | 37    | 150   | 2    |
      | 73      | 50    | 150   | 3    |
      | 25      | 12    | 60    | 4    |

  # Guards against orders that are sent to doubtful targets although hardly any fails.
  Scenario: A calm service keeps no floor
    Then floor: with 5 of 100 requests failing no target is chosen for the floor

  # Guards against sound targets of a small service that get nothing for 2 s while the rest
  # of its targets, which are the larger part, are in use (3 of 6 sound ones of 33).
  Scenario: A failing service leaves out few of its targets
    Then floor: with 15 of 100 requests failing and 5 of 33 targets unused one of these is chosen
