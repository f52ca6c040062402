Feature: Messages between hosts

  # Guards against a bad message that ends the daemon, its connection, or is obeyed.
  Scenario Outline: peer: A bad message is counted, dropped, and followed by service
    Given peer: a server of fleet "one" that answers status requests
    When peer: a client sends <message>
    Then peer: the message is dropped with the reason "<reason>"
    And peer: the next request on <connection> connection is answered

    Examples:
      | message                         | reason                    | connection |
      | random bytes                    | malformed message         | the same   |
      | a truncated request             | malformed message         | the same   |
      | a request of fleet two          | message of another fleet  | the same   |
      | a request of version 9          | protocol version: 9       | the same   |
      | a request of an unknown kind    | message of unknown kind   | the same   |
      | a request without a handler     | no handler                | the same   |
      | a request its handler refuses   | refused by its handler    | the same   |
      | a frame of 2000000 bytes        | oversized frame           | a new      |

  # Guards against a rolling upgrade that splits the fleet.
  Scenario Outline: peer: Neighbouring protocol versions are accepted
    Given peer: a server of fleet "one" that answers status requests
    When peer: a client sends a request of version <version>
    Then peer: it is answered

    Examples:
      | version |
      | 2       |
      | 3       |
      | 4       |

  # Guards against foreign hosts on the peer port.
  Scenario: peer: An address outside the allowed networks is refused
    Given peer: a server that allows only 10.0.0.0/8
    When peer: a client sends a request of version 2
    Then peer: the connection is closed without an answer
