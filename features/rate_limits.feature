Feature: Rate limits of workspaces, in sum over all hosts

  # Guards against admissions above the limit in sum, and against a limit that is not used.
  Scenario Outline: rate limits: <hosts> hosts at <demand> times <rate> requests a second
    Then rate limits: <hosts> hosts with rate <rate>, burst <burst> and demand <demand> keep the bound, use <least> to 1.02 of what one bucket admits and refuse at most <refused>

    Examples:
      | hosts | rate | burst | demand | least | refused |
      | 5     | 20   | 0     | 0.9    | 0.99  | 0.01    |
      | 36    | 50   | 50    | 0.9    | 0.99  | 0.01    |
      | 36    | 50   | 50    | 5      | 0.90  | 1.0     |
      | 36    | 200  | 0     | 9      | 0.90  | 1.0     |
      | 60    | 1    | 0     | 0.9    | 0.99  | 0.01    |
      | 130   | 10   | 10    | 5      | 0.90  | 1.0     |
      | 130   | 400  | 0     | 9      | 0.90  | 1.0     |

  # Guards against tokens that are used twice while hosts do not hear each other in time.
  Scenario Outline: rate limits: The bound holds with <trouble>
    Then rate limits: the bound holds with <trouble>, and <least> of the limit is used

    Examples:
      | trouble                          | least |
      | demand at one host               | 0.9   |
      | moving demand                    | 0.9   |
      | lost announcements               | 0.9   |
      | many lost announcements          | 0.8   |
      | some slow links                  | 0.8   |
      | slow links                       | 0.4   |
      | two groups                       | 0.7   |
      | three groups                     | 0.7   |
      | groups across domains            | 0.6   |
      | demand that moves in a partition | 0.4   |
      | restart of all                   | 0.7   |
      | stops                            | 0.7   |
      | pauses                           | 0.7   |
      | pause of all                     | 0.5   |
      | hosts that announce nothing      | 0.4   |
      | changes of the limit             | 0.6   |

  # Guards against a limit that only an upgrade of all hosts would bring into force.
  Scenario: rate limits: Hosts of an earlier version leave the others their share
    Then rate limits: with half of the hosts of an earlier version the others use 0.4 to 0.55 of the limit

  # Guards against the host's part being left out although the buckets are right.
  Scenario: rate limits: A host answers 429 before it reads the body
    Then rate limits: over the limit a host answers 429 at once and without the body, and names different times

  Scenario: rate limits: A request that is not sent returns its token
    Then rate limits: requests without any send return their tokens, sent ones do not

  # Guards against a request that ends without an answer, or a token of another workspace.
  Scenario: rate limits: A key changes its workspace while its request is on the way
    Then rate limits: a request admitted for one workspace is announced for it and returns its token to it, whatever its key names meanwhile

  # Guards against admissions that callers collect with slow bodies and use at once.
  Scenario: rate limits: A slow body is admitted again
    Then rate limits: a request whose body takes 2 s is judged again before it is sent

  Scenario: rate limits: A workspace without a limit costs nothing
    Then rate limits: requests without a limit create no bucket and no announcement

  # Guards against announcements that get lost between the sender and the buckets.
  Scenario: rate limits: Announcements reach the buckets of all hosts
    Then rate limits: a first send at one of 6 hosts is deducted once at the 5 others, and confirmed

  Scenario: rate limits: Invalid announcements are rejected
    Then rate limits: announcements without a count, with a long name or out of range are rejected and counted

  Scenario: rate limits: A registration says that a host announces
    Then rate limits: a registration of this version announces, one without the field does not

  Scenario: rate limits: A full queue keeps the newest count of each workspace
    Then rate limits: a queue of 2000 starts of 3 workspaces keeps the last count of each
