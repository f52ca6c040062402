Feature: The cost of control stays within its bounds at the two-year size

  Scenario Outline: Shards are spread over <hosts> hosts
    # Guards against a host with several shards, whose replies overrun its budget, and
    # against a list of hosts whose every change moves most shards.
    Given the shard owners of <hosts> hosts
    Then no host owns more than <most> shards
    And the loss of any one host moves at most <moved> shards

    Examples:
      | hosts | most | moved |
      | 1     | 64   | 64    |
      | 3     | 22   | 64    |
      | 13    | 5    | 40    |
      | 123   | 1    | 8     |

  Scenario: An urgent report names only the services with failures
    # Guards against one failure a second that makes a host report all its services.
    Given a reporter with outcomes of 50 services
    When one attempt of "service-7" fails
    Then the urgent report names only "service-7"
    And the next due report names the other 49 services

  Scenario: A router keeps its own outcomes only while verdicts are overdue
    # Guards against a detection pool per service and host, which takes 13 MB, and
    # against a router without history when its aggregator is lost.
    Given a router with 4 targets and fresh verdicts
    Then it keeps no outcomes of its own for 15 s
    And it keeps those after 15 s, and ejects by them after 30 s
    And it drops them with the next verdicts

  Scenario Outline: A reply to <who> about a service whose verdicts <state>
    # Guards against replies that name every unchanged service, which take most of an
    # aggregator's bytes, and against entries that take an unknown service for judged.
    Given an aggregator that has judged "service-1"
    When <who> reports a service whose verdicts <state>
    Then the reply <answer>
    And the entry's verdicts are <age>

    Examples:
      | who                    | state       | answer                     | age       |
      | a host of this version | are known   | leaves the service out     | confirmed |
      | a host of this version | are older   | carries all verdicts       | confirmed |
      | a host of this version | are unknown | says it judges no verdicts | as before |
      | a host of version 2    | are known   | carries no verdicts        | confirmed |

  Scenario Outline: The metrics page for a scraper that accepts "<accepted>"
    # Guards against a page whose size exceeds what a host may send, and against a
    # compressed page for a scraper that does not understand it.
    When the metrics page is asked for with the encodings "<accepted>"
    Then the page is sent <form> with the same content

    Examples:
      | accepted            | form       |
      | gzip                | compressed |
      | deflate, gzip;q=0.5 | compressed |
      | *                   | compressed |
      | none                | plain      |
      | gzip; q=0           | plain      |
      | identity            | plain      |
