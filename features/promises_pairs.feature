Feature: Two faults at the same time break no promise
  Guards P1 to P4 and P7 when the failures F1 to F11 occur together.

  Scenario Outline: <first> and <second>
    Given the promises_pairs fleet
    When promises_pairs load with seed <seed> meets <first> and <second>
    Then promises_pairs orders ran at most once and answers were whole
    And the promises_pairs floor holds and all hosts agree on the revision

    Examples:
      | seed | first                  | second               |
      | 51   | daemon killed          | target breaks midway |
      | 52   | daemon frozen          | one-way cut          |
      | 53   | store down             | target killed        |
      | 54   | store down             | one-way cut          |
      | 55   | store answers lost     | daemon frozen        |
      | 56   | target flaps           | connections silent   |
      | 57   | target leaves          | daemon killed        |
      | 58   | target fails real work | target frozen        |
      | 59   | daemon frozen          | daemon frozen        |
