Feature: What callers get while hosts restart beside changes

  # Guards against hosts that, after others have restarted, serve an older configuration,
  # answer 404 on its new routes or use targets that have left, until the next change, as
  # changes were left out or the configuration was taken for removed (CONFIG, DRAIN and
  # DENIED on the users' own machines).
  Scenario Outline: Restart waves: Callers get what the store holds while the fleet <trouble>, seed <seed>
    Given restart waves: 3 failure domains of 8 hosts, 160 targets and a large configuration
    When restart waves: the fleet <trouble>, 6 times, seed <seed>
    Then restart waves: no host in touch uses what was replaced 2 s before
    And restart waves: no host differed from another at the same revision

    Examples:
      | trouble                                            | seed |
      | restarts some hosts                                | 2    |
      | restarts some hosts and loses datagrams            | 2    |
      | restarts some hosts and loses datagrams            | 10   |
      | restarts some hosts and is refused by the store    | 4    |
      | restarts some hosts and gets late answers          | 1    |
      | restarts some hosts and loses the store's history  | 1    |
      | restarts a failure domain                          | 1    |
      | restarts all its hosts                             | 1    |
      | restarts all its hosts and is refused by the store | 1    |
      | restarts its hubs                                  | 1    |
      | is refused by the store                            | 1    |
