Feature: Hosts behind links of limited and unequal bandwidth

  # Guards against a configuration that is late because every host fetches it whole from
  # one host whose link can't carry that (CONFIG broken on papelitos-gw-grown).
  Scenario Outline: A large configuration and small changes after it reach hosts on <links> links in time
    Given thin links: 2 failure domains of 29 hosts on <links> links
    When thin links: the configuration grows by 1200 routes and changes 8 times, each 0.4 s
    Then thin links: each host has each version in force within 2.5 s

    Examples:
      | links                 |
      | 5 Mbit/s              |
      | 5 and two 100 Mbit/s  |
      | 1000 Mbit/s           |

  # Guards against repeats beyond the limit by hosts that miss most findings of the
  # others, because these pass a link that can't carry them (BUDGET broken on both grown
  # sites).
  Scenario Outline: Hosts on <links> links keep the limit on repeats
    Given thin links: 1 failure domain of 24 hosts on <links> links, with 40 targets
    When thin links: each host gets 8 requests a second, and after 5 s targets refuse half for 8 s
    Then thin links: the repeats of all hosts stay within the limit

    Examples:
      | links                 |
      | 0.5 Mbit/s            |
      | 0.5 and two 10 Mbit/s |
      | 1000 Mbit/s         |
