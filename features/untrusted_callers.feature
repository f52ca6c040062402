Feature: A host withstands callers that it can't trust

  # Guards against bodies that take all memory of a host, with limits.memoryMb far
  # below what the callers send. The callers stay connected until the end.
  Scenario Outline: Untrusted callers send <load>
    Given untrusted: a host with limits.memoryMb=96, limits.maxFds=600 and bodies of <legal> bytes
    When untrusted: <count> callers send bodies of kind "<load>"
    Then untrusted: the host answers an ordinary request
    And untrusted: the host stayed within its limits

    Examples:
      | load                                  | count | legal    |
      | large chunks that stop short          | 150   | 67108864 |
      | tiny chunks that stop short           | 150   | 67108864 |
      | an announced length over the limit    | 150   | 1000000  |
      | chunks far over the limit             | 100   | 1000000  |
      | legal sizes as a whole                | 150   | 67108864 |
      | legal sizes in pieces that stop short | 150   | 67108864 |
      | single bytes that stop short          | 50    | 67108864 |

  # Guards against answers that fill a host because callers don't read them.
  Scenario: Untrusted callers leave answers unread
    Given untrusted: a host with limits.memoryMb=96, limits.maxFds=1500 and bodies of 1000000 bytes
    When untrusted: 400 callers ask for answers without end and read nothing
    Then untrusted: the host answers an ordinary request
    And untrusted: the host stayed within its limits

  # Guards against connections that use up the descriptors of a host.
  Scenario: Untrusted callers leave heads incomplete
    Given untrusted: a host with limits.memoryMb=96, limits.maxFds=300 and bodies of 1000000 bytes
    When untrusted: 400 callers send heads that stop short
    Then untrusted: the host answers an ordinary request
    And untrusted: the host stayed within its limits

  # Guards against a limit on memory that keeps out what is legal.
  Scenario: A host with little memory serves a large body of a trusted caller
    Given untrusted: a host with limits.memoryMb=96, limits.maxFds=600 and bodies of 67108864 bytes
    When untrusted: one caller sends 16777216 bytes in a body
    Then untrusted: its status is 200
    And untrusted: the host stayed within its limits
