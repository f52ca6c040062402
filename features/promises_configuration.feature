Feature: An accepted configuration is in force everywhere and never moves back
  Guards P7, F4, F5, F6 and F7 with nine daemons and oleanderctl as real processes.
  The bound of 12 s is the page's.

  Scenario: Two operators race
    Given the promises_configuration fleet
    When two promises_configuration operators race
    Then one promises_configuration operator wins and the other sees the difference
    And the promises_configuration change is in force on all hosts within 12 s
    And no promises_configuration host moved back

  Scenario Outline: Answers of the store are lost (<count>, <key>)
    Given the promises_configuration fleet
    When <count> promises_configuration answers to writes of "<key>" are lost
    Then the promises_configuration history shows the change once
    And the promises_configuration change is in force on all hosts within 12 s

    Examples:
      | count | key     |
      | 1     | head    |
      | 2     | head    |
      | 3     | any key |

  Scenario: The store shows an older head again
    Given the promises_configuration fleet
    When the promises_configuration store shows an older head again
    Then the promises_configuration change is in force on all hosts within 12 s
    And no promises_configuration host moved back

  Scenario: The platform is down for a while
    Given the promises_configuration fleet
    When the promises_configuration platform is down and a fresh daemon starts
    Then the promises_configuration fleet serves on and the fresh daemon as well
    When the promises_configuration platform is back and a change is applied
    Then the promises_configuration change is in force on all hosts within 12 s
    And no promises_configuration host moved back

  Scenario: A paused relay goes on with what it knew
    Given the promises_configuration fleet
    When promises_configuration relays are paused during two changes and go on
    Then the promises_configuration change is in force on all hosts within 12 s
    And no promises_configuration host moved back

  Scenario Outline: A change arrives while <cut>
    Given the promises_configuration fleet
    When a promises_configuration change is applied while <cut>
    Then the promises_configuration change is in force on all hosts within 12 s
    And no promises_configuration host moved back

    Examples:
      | cut                                           |
      | a reaches no other domain                     |
      | a hears no other domain                       |
      | one host reaches no store and hears only one domain |
