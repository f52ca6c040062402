Feature: What the logs tell about one request

  # Guards against a failed request whose cause can't be found from its id.
  Scenario Outline: story: The story of a request names its targets and what was believed
    Given story: the logs of two hosts
    When story: the story of "<request>" is asked for
    Then story: the exit code is <code> and the output holds "<words>"

    Examples:
      | request | code | words                                              |
      | r1      | 0    | target-timeout,target_belief_changed,i-1,long_overdue |
      | r2      | 0    | no-route,news_age_s                                |
      | r9      | 1    | no record names the request r9                     |

  Scenario Outline: story: The platform's settings file is checked
    When story: a settings file with "<line>" is checked
    Then story: the exit code is <code> and the output holds "<words>"

    Examples:
      | line                  | code | words                      |
      | zone=mvd-a            | 0    | failure_domain = mvd-a     |
      | platform.address=     | 1    | platform.address: missing  |
