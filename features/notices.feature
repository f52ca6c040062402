Feature: Notices that every host must get

  # Guards against a host that goes on sending work to a target whose drain only
  # other hosts have seen.
  Scenario Outline: All hosts learn of a drain that <seers> of them saw, <announcer>
    Given <hosts> hosts that pass drain notices on, <announcer>
    When <seers> of the hosts see "t0" of "pedidos" drain
    Then all hosts that answer take "t0" of "pedidos" out
    And each host gets at most <notices> drain notices

    Examples:
      | hosts | seers | announcer                 | notices |
      | 6     | 1     | all answering             | 1       |
      | 6     | 6     | all answering             | 7       |
      | 44    | 1     | all answering             | 1       |
      | 6     | 1     | the announcer unreachable | 1       |
      | 6     | 3     | the announcer unreachable | 3       |
