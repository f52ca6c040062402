Feature: Repeats that were spent before a host started

  # Guards against repeats of one window that are spent twice, because hosts that restart
  # together know nothing of those before (BUDGET).
  Scenario Outline: <which> hosts are <ended> <after_s> s after targets begin to refuse requests
    Given thin links: 2 failure domains with 40 targets, each of 6 hosts on 1000 Mbit/s links
    When repeat records: <which> hosts are <ended> <after_s> s after targets begin to refuse 0.55 of the requests
    Then thin links: the repeats of all hosts stay within the limit

    Examples:
      | which | ended   | after_s |
      | all   | killed  | 0.6     |
      | all   | killed  | 1.5     |
      | all   | killed  | 2.8     |
      | all   | killed  | 5       |
      | all   | stopped | 2.8     |
      | half  | killed  | 2.8     |
      | two   | killed  | 2.8     |

  # Guards against hosts that give up the repeats of their callers after each restart.
  Scenario Outline: <which> hosts are <ended> while targets refuse few requests
    Given thin links: 2 failure domains with 40 targets, each of 6 hosts on 1000 Mbit/s links
    When repeat records: <which> hosts are <ended> 2 s after targets begin to refuse 0.1 of the requests
    Then repeat records: at least 0.98 of the requests after the restart are answered

    Examples:
      | which | ended   |
      | all   | killed  |
      | all   | stopped |
      | two   | killed  |

  # Guards against calls of the store that grow with the hosts or with the repeats.
  Scenario: A spell of refusals costs few calls of the store
    Given thin links: 2 failure domains with 40 targets, each of 6 hosts on 1000 Mbit/s links
    When repeat records: no hosts are killed 1 s after targets begin to refuse 0.55 of the requests
    Then repeat records: at most 30 calls of the store are writes of records, and none remains
    And repeat records: one host wrote them

  Scenario Outline: A record of <recorded> is <due> with <counted> repeats of <limit>
    Then repeat records: with <recorded> recorded and <counted> of <limit> counted, <due> is due

    Examples:
      | recorded | counted | limit | due |
      | 0        | 0       | 400   | 0   |
      | 0        | 49      | 400   | 0   |
      | 0        | 50      | 400   | 100 |
      | 50       | 25      | 400   | 50  |
      | 50       | 26      | 400   | 100 |
      | 100      | 75      | 400   | 100 |
      | 100      | 76      | 400   | 150 |
      | 350      | 370     | 400   | 400 |
      | 400      | 440     | 400   | 500 |
      | 400      | 300     | 400   | 400 |
      | 400      | 299     | 400   | 350 |
      | 50       | 24      | 400   | 0   |
      | 0        | 3       | 0     | 0   |
      | 0        | 4       | 0     | 8   |

  Scenario Outline: A record with <oddity> is left out
    Then repeat records: a record with <oddity> is left out and the others hold

    Examples:
      | oddity              |
      | no JSON             |
      | a list              |
      | a text for a count  |
      | a negative count    |
      | a count of 10^12    |
      | a missing count     |
      | a service as number |
