Feature: Gray targets get no new work, and the floor holds
  Guards P1, F1, F2, F3, F9, F10 and F11: in ten services at once the first target (or
  several) turns sick under load while its probes may pass. All hosts are asked for
  their view of every target all the time.

  Scenario Outline: A target that is sick for all callers gets little new work (<service>)
    Given the promises_gray run of all modes
    Then the promises_gray target of "<service>" gets little new work from a,b,c
    And the promises_gray healthy targets of "<service>" stay in on all hosts
    And the promises_gray slots of "<service>" stay at 6 at least
    And the promises_gray callers of "<service>" are served after the bound

    Examples:
      | service  |
      | errors   |
      | slow     |
      | freeze   |
      | flapping |

  Scenario Outline: A target that is sick for one failure domain gets little from there (<service>)
    Given the promises_gray run of all modes
    Then the promises_gray callers of "<service>" are served after the bound
    And the promises_gray target of "<service>" gets little new work from a
    And the promises_gray target of "<service>" stays in on hosts of b,c
    And the promises_gray healthy targets of "<service>" stay in on all hosts

    Examples:
      | service      |
      | slowdomain   |
      | lostrequests |
      | lostanswers  |

  Scenario: Connections that go silent are replaced
    Given the promises_gray run of all modes
    Then the promises_gray requests of "silent" were all answered in time
    And the promises_gray healthy targets of "silent" stay in on all hosts

  Scenario: Ejection stops at the floor
    Given the promises_gray run of all modes
    Then the promises_gray hosts keep a target of "atfloor" out
    And the promises_gray slots of "atfloor" stay at 8 at least
    And the promises_gray healthy targets of "atfloor" stay in on all hosts

  Scenario: Nothing stays ejected when most targets are sick
    Given the promises_gray run of all modes
    Then the promises_gray slots of "mostsick" stay at 6 at least
    And the promises_gray slots of "mostsick" are all 10 in use after the bound
    And the promises_gray healthy targets of "mostsick" stay in on all hosts
