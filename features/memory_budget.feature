Feature: The memory budget of a host

  # Guards against charges that are released twice or never, by requests that end in
  # any order, also cancelled ones.
  Scenario: memory budget: What is held is the sum of what open requests hold
    Then memory budget: random charges and releases agree with a plain sum

  # Guards against a host that is full of callers which stop short of their end.
  Scenario Outline: memory budget: Ordinary requests get in beside <count> callers that <behaviour>
    Given memory budget: <count> callers that <behaviour> at a budget of 32 MiB
    When memory budget: 5 ordinary requests a second arrive for 10 s
    Then memory budget: no ordinary request waits or is refused
    And memory budget: at most 32 MiB are held at any time

    Examples:
      | count | behaviour               |
      | 400   | stop short              |
      | 400   | go on with single bytes |
      | 400   | leave answers unread    |
      | 40    | send slowly             |

  # Guards against bodies that keep each other from their end.
  Scenario: memory budget: The newest bodies wait when all make progress
    Given memory budget: 60 callers that send large bodies at a budget of 32 MiB
    When memory budget: 0 ordinary requests a second arrive for 10 s
    Then memory budget: at least 15 bodies were received, the oldest first
    And memory budget: at most 32 MiB are held at any time

  # Guards against bodies that stop short and keep large bodies of others out for good.
  Scenario: memory budget: Bodies that stop short make room again
    Given memory budget: 60 callers that stop short at a budget of 32 MiB
    When memory budget: 0 ordinary requests a second arrive for 10 s
    Then memory budget: at most 16 MiB are held at the end

  # Guards against connections to targets that take the descriptors of a host.
  Scenario: memory budget: Connections to all targets are limited in sum
    Then memory budget: at the limit the oldest idle connection is closed, else none opens

  # Guards against limits for hosts whose settings ask for none, and against settings
  # that leave no room.
  Scenario Outline: memory budget: limits.memoryMb=<memory> and limits.maxFds=<files>
    Then memory budget: settings with <memory> MB and <files> descriptors give <budget> MB and <connections> connections

    Examples:
      | memory | files | budget | connections |
      | 0      | 0     | 0      | 4096        |
      | 200    | 0     | 111    | 1554        |
      | 152    | 1535  | 75     | 584         |
      | 552    | 8192  | 375    | 3497        |
      | 30     | 100   | 8      | 14          |

  # Guards against a body that is sent again without its start, and against memory that
  # is kept for a body that can't be sent again.
  Scenario: memory budget: A streamed body is released as it is sent, and whole until then
    Then memory budget: a streamed body is whole at its first read and released after it

  # Guards against part of an answer that passes for the whole one.
  Scenario: memory budget: An unread answer ends at its time limit, with an error
    Then memory budget: a streamed answer that nobody reads is abandoned and then raises

  # Guards against slots that other hosts count as taken for good.
  Scenario Outline: memory budget: The end of a send is told if its body is <given up>
    Then memory budget: a send whose body is "<given up>" publishes its end

    Examples:
      | given up    |
      | too large   |
      | refused     |

  # Guards against answers that pile up on a connection whose caller reads none of them.
  Scenario: memory budget: Unread answers keep further requests of their connection waiting
    Then memory budget: of 150 requests on one connection whose answers of 60000 bytes stay unread at most 500000 bytes of answers are held
