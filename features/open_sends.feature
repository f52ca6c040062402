Feature: Open sends in the choice of a target

  # Guards against a choice that loses more requests to targets that stop answering, or
  # that takes more healthy targets for gray, than the choice without open sends.
  Scenario Outline: Fewer requests that run once are lost than by the earlier choice (<case>)
    When open sends: the case "<case>" runs with both choices, seeds 0 to <last>
    Then open sends: at most <ratio> of the earlier losses of requests that run once remain, and under 2 a phase
    And open sends: late and refused requests and healthy targets taken for gray grow by at most 0.005 of all
    And open sends: the sends of the targets differ by no more than before

    Examples:
      | case               | last | ratio |
      | calm day           | 2    | 0.95  |
      | smaller service    | 5    | 1.0   |
      | earlier deployment | 5    | 1.0   |
      | short runs         | 1    | 1.0   |
      | long runs          | 2    | 1.0   |

  # Guards against a slower kind of request that makes its targets look unanswered.
  Scenario: Two kinds of requests with different work
    When open sends: the case "two kinds" runs with both choices, seeds 0 to 3
    Then open sends: late and refused requests and healthy targets taken for gray grow by at most 0.005 of all

  # Guards against a send that is dropped while it runs, and against a lost report of an
  # end that blocks a target for good.
  Scenario: A send counts until it ends, at most for the longest time-out
    Given open sends: a host whose configuration has routes with time-outs of 1.5 and 2.8 s
    When open sends: another host starts 3 sends to a target and the report of 1 end is lost
    Then open sends: after 2.7 s the one without an end counts, and after 2.9 s it does not
    And open sends: a start that is learned 3 s late does not count
    And open sends: the send without an end is counted as overdue until then

  # Guards against a choice that costs over a third more because of open sends.
  Scenario: The processor time of a choice
    Then open sends: a choice among 40 targets with 2 open sends each takes at most 1.34 times that of the earlier one
