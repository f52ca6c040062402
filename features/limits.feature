Feature: Limits and retries

  # Guards against a structure that answers otherwise than the plain rule.
  Scenario Outline: Limits of <subject> match the naive version
    Then limits of "<subject>" agree with the naive version on random steps

    Examples:
      | subject    |
      | queue      |
      | admission  |
      | budget     |
      | quarantine |
      | ranking    |
      | slots      |

  # Guards against queueing what is lost, starving a class, and unfair shedding.
  Scenario Outline: Limits admit a <kind> request when <state>: <reason>
    Given limits for a service of 4 targets with 2 slots
    When a limits "<kind>" request due in <due> s arrives while "<state>"
    Then the limits answer is "<reason>" and displaces <displaced>

    Examples:
      | kind  | due  | state              | reason        | displaced |
      | quick | 1    | idle               | within-limit  | 0         |
      | quick | 0    | idle               | cannot-finish | 0         |
      | quick | 0.01 | idle but slow      | within-limit  | 0         |
      | quick | 0.01 | busy and slow      | cannot-finish | 0         |
      | quick | 5    | busy and slow      | limit-reached | 0         |
      | quick | 1    | long at limit      | within-limit  | 0         |
      | long  | 60   | quick at limit     | within-limit  | 0         |
      | long  | 60   | long at limit      | limit-reached | 0         |
      | quick | 60   | quick queue full   | queue-full    | 0         |
      | quick | 60   | queue full         | limit-reached | 1         |
      | long  | 60   | queue full         | long-shed     | 0         |
      | quick | 60   | share 0            | share-limited | 0         |

  # Guards against a limit that collapses below 1, ignores refusals or outgrows the
  # service, and against a recovering dependency that gets more than its share.
  Scenario: Limits follow refusals and successes between 1 and the slots
    Given limits for a service of 4 targets with 2 slots
    Then limits stay at 1 after 100 refusals
    And limits stay at 8 slots after 1000 successes
    And limits with a share of 0.25 admit 25 of 100 requests

  # Guards against retries that come in step, or that wait too long.
  Scenario Outline: Limits back off retry <number> within <low> and <high> s
    Then the limits backoff of retry <number> lies within <low> and <high> s

    Examples:
      | number | low   | high |
      | 1      | 0.005 | 0.01 |
      | 4      | 0.04  | 0.08 |
      | 5000   | 0.25  | 0.5  |

  # Guards against memory that grows with the number of crashing requests.
  Scenario: Limits keep a bounded number of quarantined requests
    Then limits of a quarantine bounded to 10 keep its newest confirmed request

  # Guards against a coordinator that grants what it does not know to be free.
  Scenario Outline: Limits of long slots when <state>: <reason>
    Given limits for a service of 4 targets with <slots> slots
    When a limits long slot is acquired while "<state>"
    Then the limits slot answer is "<reason>"

    Examples:
      | slots | state                  | reason             |
      | 2     | just started           | listening          |
      | 2     | idle                   | granted            |
      | 2     | frozen with leases     | listening          |
      | 2     | other targets excluded | granted            |
      | 1     | all targets excluded   | targets-long-full  |
      | 2     | half the slots long    | service-long-share |
      | 1     | half the slots long    | service-long-share |
      | 2     | no targets             | no-targets         |

  # Guards against two slow requests on a new host that hold up all others.
  Scenario Outline: limits: Requests that wait without a refusal raise the limit
    Given limits: an admission with 24 slots and 2 running requests that never end
    When limits: 10 requests wait for 0.5 s after a refusal <age> s ago
    Then limits: <admitted> of the waiting requests are admitted

    Examples:
      | age  | admitted |
      | none | 10       |
      | 0.1  | 0        |
      | 5    | 10       |
