Feature: The declaration, its storage form, settings and ranking

  Scenario Outline: A declaration with <path> set to <value> is refused with a path
    Given the declaration of two small services
    When the declaration has <path> set to <value>
    Then the declaration is refused at <reported> because of <reason>

    Examples: shape
      | path                                  | value        | reported                             | reason            |
      | services.shop.slots_per_target        | 0            | $.services.shop.slots_per_target     | less than         |
      | services.shop.long_share              | 0.9          | $.services.shop.long_share           | greater than      |
      | services.shop.objective.success_share | 1            | $.services.shop.objective.success_share | 1              |
      | routes.0.class                        | "slow"       | $.routes[0].class                    | not one of        |
      | routes.0.path                         | "no/slash"   | $.routes[0].path                     | does not match    |
      | services                              | []           | $.services                           | not of type       |
      | extra                                 | 1            | $                                    | extra             |

    Examples: unknown names
      | path                                      | value      | reported                                     | reason                    |
      | services.shop.depends_on                  | ["x"]      | $.services.shop.depends_on[0]                | unknown service           |
      | services.shop.fallback                    | "x"        | $.services.shop.fallback                     | unknown service           |
      | services.shop.region                      | "x"        | $.services.shop.region                       | no failure domain         |
      | services.shop.targets.0.failure_domain    | "x"        | $.services.shop.targets[0].failure_domain    | unknown failure domain    |
      | services.shop.targets.0.failure_domain    | "d9"       | $.services.shop.targets[0].failure_domain    | not in region             |
      | services.shop.targets.0.address           | "host.lan" | $.services.shop.targets[0].address           | not an IP number          |
      | routes.0.service                          | "x"        | $.routes[0].service                          | unknown service           |
      | routes.0.workspaces                       | "x"        | $.routes[0].workspaces                       | unknown workspace group   |

    Examples: contradictions
      | path                            | value           | reported                           | reason                       |
      | services.shop.floor_slots       | 5               | $.services.shop.floor_slots        | the targets have 4           |
      | services.shop.target_label      | "shop"          | $.services.shop                    | exactly one                  |
      | services.shop.targets.1.id      | "s1"            | $.services.shop.targets[1].id      | duplicate                    |
      | services.shop.targets.1.address | "10.0.0.1"      | $.services.shop.targets[1].address | duplicate                    |
      | routes.1.id                     | "look"          | $.routes[1].id                     | duplicate of $.routes[0]     |
      | routes.2.path                   | "/look"         | $.routes[2].workspaces             | also matches group           |
      | routes.0.first_byte_ms          | 9000            | $.routes[0].first_byte_ms          | exceeds the deadline         |
      | routes.1.deadline_ms            | 600000          | $.routes[1].deadline_ms            | claim lifetime               |
      | services.store.long_share       | 0               | $.routes[3].class                  | long_share of 0              |
      | services.store.slots_per_target | 1               | $.routes[3].class                  | 2 slots                      |
      | workspace_groups.red            | ["a","a"]       | $.workspace_groups.red[1]          | duplicate                    |
      | services.store.depends_on       | ["shop"]        | $.services.shop.depends_on         | cycle shop -> store -> shop  |
      | services.store.fallback         | "store"         | $.services.store.fallback          | cycle store -> store         |

  Scenario: Problems of shape and of content are reported together
    Given the declaration of two small services
    When the declaration has routes.0.class set to "slow"
    And the declaration has services.shop.fallback set to "x"
    And the declaration has services.store.floor_slots set to 99
    Then the declaration has 3 problems

  Scenario Outline: Text that is not one clear JSON document is refused
    Then the declaration text <text> is refused because of <reason>

    Examples:
      | text                                | reason           |
      | {"services":                        | not JSON         |
      | []                                  | not of type      |
      | {"services": {"a": {}, "a": {}}}    | more than once   |

  Scenario Outline: The example of <deployment> has the sizes in use today
    Then the declaration example <deployment> has <service> with <targets> targets of <slots> slots

    Examples:
      | deployment | service    | targets | slots |
      | papelitos  | pedidos    | 25      | 2     |
      | papelitos  | disenos    | 6       | 2     |
      | consorcio  | emprestimo | 30      | 4     |
      | consorcio  | arquivo    | 6       | 4     |

  Scenario: The planned size fits, and a small edit changes few chunks
    Given the declaration of the size planned for two years ahead
    Then the declaration's manifest and chunks fit into the store
    And one more target and one more workspace change at most 4 of its chunks

  Scenario: A manifest over the store's value limit is refused
    Given the declaration of two small services
    Then the declaration is refused if the store takes 10000 bytes

  Scenario: A range without a natural end is cut before a chunk grows too large
    Then declaration entries that never end a range are cut at the chunk limit

  Scenario: Joining the chunks gives the canonical text
    Then any declaration survives a split and a join

  Scenario: Reused parts of an earlier revision give what a fresh start gives
    Then any declaration assembled after another one equals its fresh assembly

  Scenario: The difference is empty exactly for equal declarations
    Then any two declarations have no difference exactly if they are equal

  Scenario Outline: A chunk that is <damage> is refused
    Then a declaration with a chunk that is <damage> cannot be joined

    Examples:
      | damage    |
      | missing   |
      | altered   |
      | not JSON  |

  Scenario: Cycles are found exactly where a naive search finds them
    Then the declaration's cycle check agrees with a transitive closure

  Scenario Outline: Settings with <path> set to <value> are refused
    Then settings with <path> set to <value> are refused at <reported>

    Examples:
      | path                   | value          | reported                    |
      | caller.port            | 70000          | $.caller.port               |
      | caller.address         | "localhost"    | $.caller.address            |
      | peer.allowed_networks  | ["10.0.0.1/8"] | $.peer.allowed_networks[0]  |
      | peers_seed             | ["10.0.0.1:0"] | $.peers_seed[0]             |
      | platform.url           | "ftp://x"      | $.platform.url              |
      | unheard_of             | 1              | $                           |

  Scenario: Ranking agrees with a naive walk and moves only the keys it must
    Then ranking in distinct domains agrees with a walk down the whole ranking
    And ranking by a table equals ranking each shard afresh after any changes
    And ranking without one host keeps the order of the others
