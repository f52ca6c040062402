Feature: At-most-once claims

  # Guards against a second run and against a false "not run"; the variants show that
  # the search finds such faults.
  Scenario Outline: Claims under random faults: <protocol>, seed <seed>
    When claims run as "<protocol>" for <examples> examples from seed <seed>
    Then claims end with "<result>"

    Examples:
      | protocol      | seed | examples | result          |
      | single holder | 5    | 5000     | a key ran twice |
      | no age rule   | 4    | 5000     | a key ran twice |
      | as designed   | 4    | 150      | no violation    |
      | as designed   | 5    | 150      | no violation    |

  # Guards against dropping one rule of the protocol.
  Scenario Outline: Claims when <trace>, <protocol>
    When claims meet "<trace>" as "<protocol>"
    Then claims end with "<result>"

    Examples:
      | trace                   | protocol                         | result          |
      | first holder replaced   | single holder                    | a key ran twice |
      | first holder replaced   | as designed                      | no violation    |
      | shared holder restarted | no age rule                      | a key ran twice |
      | shared holder restarted | as designed                      | no violation    |
      | holder departed         | departed hosts not ranked        | a key ran twice |
      | holder departed         | holder without own view          | a key ran twice |
      | holder departed         | as designed                      | no violation    |
      | delisted holder votes   | departed ranked for one lifetime | a key ran twice |
      | delisted holder votes   | as designed                      | no violation    |
      | newcomer unseen         | age of one lifetime              | a key ran twice |
      | newcomer unseen         | as designed                      | no violation    |
      | delisted holder cut off | no list staleness rule           | a key ran twice |
      | delisted holder cut off | as designed                      | no violation    |
      | frozen entry resumes    | no dispatch deadline             | a key ran twice |
      | frozen entry resumes    | as designed                      | no violation    |

  # Guards against a round that runs, or promises "not run", on too little.
  Scenario Outline: Claims decide on votes <votes>
    When claims get the votes "<votes>"
    Then claims decide "<decision>" and release <released> holders

    Examples:
      | votes                            | decision    | released |
      | free free free                   | granted     | 0        |
      | free free -                      | granted     | 0        |
      | free - -                         | unknown     | 3        |
      | free free other-owner            | claim-held  | 2        |
      | other-owner recorded free        | completed   | 1        |
      | table-full table-full -          | not-run     | 1        |
      | table-full table-full free       | unknown     | 1        |
      | table-full holder-too-young -    | unknown     | 1        |
      | other-request free free          | key-reused  | 2        |
      | key-expired key-expired -        | key-expired | 1        |
      | host-list-stale not-a-holder -   | unknown     | 1        |
      | late:free late:free late:free    | unknown     | 3        |

  # Guards against a holder that votes without knowing the earlier claims.
  Scenario Outline: Claims holder that is <state> votes <reason>
    When a claims holder that is "<state>" is asked
    Then the claims vote is "<reason>"

    Examples:
      | state               | reason           |
      | 649 s old           | holder-too-young |
      | 708 s old           | free             |
      | bootstrap           | free             |
      | other incarnation   | holder-too-young |
      | bootstrap relisted  | holder-too-young |
      | unconfirmed for 60s | host-list-stale  |
      | back after 600s     | holder-too-young |
      | delisted            | not-a-holder     |
      | not asked           | not-a-holder     |

  # Guards against a claim that expires before its key does.
  Scenario Outline: Claims with a UUIDv7 key <age> s old are voted <reason>
    When claims are asked with a UUIDv7 key <age> s old
    Then the claims vote is "<reason>"

    Examples:
      | age | reason          |
      | -31 | key-from-future |
      | -29 | free            |
      | 0   | free            |
      | 539 | free            |
      | 541 | key-expired     |

  # Guards against forgetting a live claim, and against unbounded memory.
  Scenario: Claims table that is full refuses and keeps what it holds
    Given a claims table bounded to 3 entries and 40000 bytes
    When claims are granted until the table refuses
    Then the claims table held 3 entries and still reports each as held
    And the claims table grants again 600 s later

  Scenario Outline: Claims answer of <size> bytes is recorded <kept>
    Given a claims table bounded to 3 entries and 40000 bytes
    When a claims answer of <size> bytes is recorded
    Then the claims vote is "recorded" with the body <kept>

    Examples:
      | size  | kept    |
      | 16384 | whole   |
      | 16385 | dropped |

  # Guards against a release or a completion by anyone but the owner, and against
  # losing claims at a planned stop.
  Scenario: Claims updates need the owner and survive a handover
    Given a claims table bounded to 3 entries and 40000 bytes
    Then claims releases and completions obey the owner's token
    And claims absorbed by a young holder are held or recorded, not granted
