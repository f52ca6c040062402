Feature: The store comes back from an older copy

  # Guards against a host that takes a revision for that of another history: it passes
  # over all changes of the later one, or takes those of the earlier one for new (review/13).
  Scenario Outline: Store history: A host at <known> that gets <message> at <sent> <outcome>
    Given store history: a host that knows the store up to era and number <known>
    When store history: it gets <message> at <sent>
    Then store history: the outcome is that it <outcome>

    Examples:
      | known  | message           | sent   | outcome                |
      | 1, 118 | a watched page    | 1, 119 | takes it               |
      | 1, 118 | a watched page    | 1, 112 | passes over it         |
      | 1, 118 | a watched page    | 2, 119 | reads all items        |
      | 1, 118 | a watched page    | 2, 112 | reads all items        |
      | 1, 118 | a watched page    | 4, 112 | reads all items        |
      | 2, 112 | a watched page    | 1, 118 | passes over it         |
      | 1, 118 | a refused watch   | 1, 118 | reads all items        |
      | 1, 118 | a refused watch   | 2, 112 | reads all items        |
      | 1, 118 | a listing         | 1, 119 | takes it               |
      | 1, 118 | a listing         | 2, 112 | takes it               |
      | 1, 118 | a listing         | 2, 119 | takes it               |
      | 2, 112 | a listing         | 1, 118 | passes over it         |
      | 0, 118 | a listing         | 3, 112 | takes it               |
      | 1, 118 | changes           | 1, 119 | takes it               |
      | 1, 118 | changes           | 2, 112 | asks their sender      |
      | 1, 118 | changes           | 2, 119 | asks their sender      |
      | 2, 112 | changes           | 1, 119 | passes over it         |
      | 2, 112 | changes           | 0, 119 | passes over it         |
      | 1, 118 | a revision        | 1, 119 | asks their sender      |
      | 1, 118 | a revision        | 2, 112 | asks their sender      |
      | 2, 112 | a revision        | 1, 118 | passes over it         |
      | 2, 112 | a revision        | 0, 118 | passes over it         |
      | 1, 118 | a whole copy      | 2, 112 | takes it               |
      | 2, 112 | a whole copy      | 1, 118 | passes over it         |
      | 1, 118 | a partial copy    | 2, 112 | passes over it         |
      | 1, 118 | a confirmation    | 1, 118 | believes it            |
      | 1, 118 | a confirmation    | 2, 112 | does not believe it    |
      | 2, 112 | a confirmation    | 1, 112 | does not believe it    |
      | 2, 112 | a confirmation    | 0, 112 | does not believe it    |

  # Guards against an older configuration that comes back, a target that gets work again
  # after it has left, and one that gets none although it has come back, after the store
  # has come back from an older copy.
  Scenario Outline: Store history: With <known> in use and <copied> in the copy, <written> leaves <in use>
    Given store history: a host that knows <known>
    When store history: the store comes back with <copied>
    And store history: then <written> is written
    Then store history: the host uses <in use>

    Examples: Configurations
      | known     | copied            | written   | in use    |
      | version 5 | version 3         | nothing   | version 5 |
      | version 5 | nothing           | nothing   | version 5 |
      | version 5 | version 5         | nothing   | version 5 |
      | version 5 | version 3         | version 4 | version 5 |
      | version 5 | version 3         | version 5 | version 5 |
      | version 5 | version 3         | version 6 | version 6 |
      | version 5 | nothing           | version 6 | version 6 |
      | version 5 | version 3         | a removal | version 5 |
      | version 5 | version 7         | nothing   | version 7 |
      | version 5 | an odd value      | nothing   | version 5 |
      | version 5 | an odd value      | version 6 | version 6 |
      | nothing   | version 3         | nothing   | version 3 |

    Examples: Targets; the number counts the reports, and b2 is a later process
      | known         | copied        | written       | in use        |
      | ready 4       | ready 3       | nothing       | ready 4       |
      | ready 4       | ready 4       | nothing       | ready 4       |
      | ready 4       | ready 4       | ready 5       | ready 5       |
      | ready 4       | nothing       | nothing       | ready 4       |
      | ready 4       | nothing       | ready 4       | ready 4       |
      | ready 4       | nothing       | leaving 5     | leaving 5     |
      | ready 4       | ready 3       | a removal     | ready 4       |
      | ready 4       | leaving 5     | nothing       | leaving 5     |
      | ready 4       | an odd value  | nothing       | nothing       |
      | ready 0       | leaving 0     | nothing       | leaving 0     |
      | leaving 5     | ready 4       | nothing       | leaving 5     |
      | leaving 5     | ready 4       | leaving 5     | leaving 5     |
      | leaving 5     | nothing       | nothing       | nothing       |
      | leaving 5     | ready 4       | ready 1 of b2 | ready 1 of b2 |
      | leaving 0     | ready 0       | nothing       | leaving 0     |
      | leaving 0     | ready 0       | ready 0       | ready 0       |
      | left after 4  | ready 4       | nothing       | nothing       |
      | left after 4  | ready 3       | nothing       | nothing       |
      | left after 4  | ready 4       | ready 5       | ready 5       |
      | left after 4  | ready 4       | ready 4       | ready 4       |
      | left after 4  | ready 5       | nothing       | ready 5       |
      | left after 0  | ready 0       | nothing       | nothing       |
      | left after 4  | ready 1 of b2 | nothing       | ready 1 of b2 |
      | ready 1 of b2 | ready 9       | nothing       | ready 1 of b2 |
      | ready 1 of b2 | leaving 9     | nothing       | ready 1 of b2 |
      | nothing       | ready 4       | nothing       | ready 4       |

  # Guards against a target that stays in use for good, as the copy lacks it, and against
  # one that is given up before its owner could register it again.
  Scenario Outline: Store history: A target that the copy lacks is <state> <after> s after the return
    Given store history: a host that knows ready 4
    When store history: the store comes back with nothing
    And store history: <after> s pass
    Then store history: the host uses <state>

    Examples:
      | after | state   |
      | 1.5   | ready 4 |
      | 2.5   | nothing |

  # Guards against a host that calls the store again and again without a pause, as its
  # answers bring nothing (3,870 to 5,080 calls in 8 s at five hosts).
  Scenario Outline: Store history: A store that <answers> gets at most <most> calls in 10 s
    When store history: a host follows a store that <answers> for 10 s
    Then store history: it has made at most <most> calls

    Examples:
      | answers                                       | most |
      | answers each watch with 410                   | 60   |
      | answers each watch with 410 and a later era   | 60   |
      | answers each watch with an empty page at once | 20   |
      | answers each watch with an older page at once | 20   |
      | lists at a revision below that of the watch   | 60   |
      | names another era in each answer              | 60   |
      | goes back an era                              | 60   |
      | knows no lease when a key is written          | 60   |
      | knows no lease when it is renewed             | 60   |
      | knows no lease when a record is written       | 60   |

  # Guards against answers without a readable era that stop a host or start a storm.
  Scenario Outline: Store history: An era of "<header>" after era <known> is taken for <era>
    Then store history: an answer with an era of "<header>" after era <known> is of era <era>

    Examples:
      | header               | known | era |
      | 2                    | 1     | 2   |
      | 7                    | 1     | 7   |
      | 1                    | 2     | 1   |
      | 0                    | 0     | 0   |
      |                      | 0     | 0   |
      |                      | 3     | 3   |
      | x                    | 3     | 3   |
      | -4                   | 3     | 3   |
      | 4.0                  | 3     | 3   |
      | 99999999999999999999 | 3     | 3   |

  # Guards against hosts that disagree for good about what still holds, whatever order
  # their messages arrive in.
  Scenario: Store history: Three hosts that exchange copies in any order agree
    Then store history: hosts that exchange copies in any order keep the newest states

  # Guards against what callers saw after a drill: an older configuration, 404 on a new
  # route, targets reached that had left; and against many calls of the store.
  Scenario Outline: Store history: Callers get what holds while the store <drills>, seed <seed>
    Given store history: <domains> failure domains of <hosts> hosts, <targets> targets
    When store history: the store <drills>, seed <seed>
    Then store history: no host uses what was replaced 2 s before
    And store history: no host served an older version, also not right after its start
    And store history: all hosts know the store and keep nothing
    And store history: each appointed host listed once, and another called the store at most <calls> times

    Examples:
      | domains | hosts | targets | drills                                    | seed | calls |
      | 1       | 3     | 40      | comes back once                           | 1    | 4     |
      | 2       | 5     | 40      | comes back once                           | 2    | 4     |
      | 3       | 8     | 100     | comes back once                           | 3    | 4     |
      | 2       | 5     | 40      | comes back from its first state           | 4    | 4     |
      | 2       | 5     | 100     | comes back three times                    | 5    | 4     |
      | 2       | 5     | 40      | comes back while some hosts restart       | 6    | 4     |
      | 2       | 5     | 40      | comes back while all hosts restart        | 7    | 4     |
      | 2       | 5     | 40      | comes back while it refuses some hosts    | 8    | 12    |
      | 2       | 5     | 40      | comes back while datagrams are lost       | 9    | 4     |
      | 2       | 5     | 40      | comes back without a change since         | 10   | 4     |

  # Guards against a host that ends or renews the lease of another one, which has got the
  # same number, and against a fleet that registers again all at once.
  Scenario: Store history: Hosts register again after a drill, under leases of their own
    Given store history: 2 failure domains of 5 hosts, 10 targets
    When store history: the store comes back from before its hosts had registered
    Then store history: all hosts are registered again within 3 s, each under its own lease
    And store history: a host that then stops removes its own entry only

  # Guards against what real hosts did after a drill: nobody took the next version, new
  # routes answered 404, targets that had left got work, and calls came without a pause.
  Scenario Outline: Store history: Five hosts go on after the store comes back from <copy>
    Given store history: five hosts in two failure domains, eight targets and a configuration
    When store history: the store comes back from a copy of <copy>
    Then store history: the next configuration is in force at all hosts within 2 s
    And store history: no request got what all versions allow refused, or an older version
    And store history: no target that had left got a request
    And store history: a host that does not watch called the store at most 6 times in 8 s, another 40 times

    Examples:
      | copy                           |
      | some seconds before            |
      | before the first configuration |
