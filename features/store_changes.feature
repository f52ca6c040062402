Feature: Changes of the store that one host tells another

  # Guards against a host that keeps an old configuration, uses a target that has left or
  # counts a host that is gone until the next change, because the sender left out what it
  # had learned from another host (review/3).
  Scenario Outline: Store changes: <change> is not left out of <message>
    Given store changes: two hosts with 3 targets and a configuration
    When store changes: one host learns of <change> from elsewhere while it prepares <message>
    Then store changes: the other host has all that the first one has

    Examples:
      | message          | change                |
      | a watched page   | a configuration       |
      | a watched page   | a large configuration |
      | a watched page   | a target that leaves  |
      | a watched page   | a removed target      |
      | a watched page   | a removed host        |
      | a watched page   | a new host            |
      | a listing        | a configuration       |
      | a listing        | a large configuration |
      | a listing        | a target that leaves  |
      | a listing        | a removed target      |
      | a listing        | a removed host        |
      | a listing        | a new host            |
      | a relayed change | a configuration       |
      | a relayed change | a large configuration |
      | a relayed change | a target that leaves  |
      | a relayed change | a removed target      |
      | a relayed change | a removed host        |
      | a relayed change | a new host            |

  # Guards against a key that lives on because the host that announces a listing never saw
  # it, and so can't tell that it was removed.
  Scenario Outline: Store changes: A listing removes <key> that only others have seen
    Given store changes: two hosts with 3 targets and a configuration
    When store changes: one host lists the store after another has seen <key> come, and it went
    Then store changes: the other host has all that the first one has

    Examples:
      | key       |
      | a target  |
      | a host    |
