Feature: API keys of workspaces on one host, without a network

  # Guards against a workspace that is let in or shut out by an entry that can't be
  # read, and against keys in the error's text, which is logged.
  Scenario Outline: api keys: A configuration with the entry <entry> is refused
    Then api keys: the entry '<entry>' beside workspace "acme" is refused at "<path>" without a key in the text

    Examples:
      | entry                                                                               | path                               |
      | {"resourceType":"tenants","metadata":{"name":"b"},"spec":{}}                         | $.resources[1].apiKeys             |
      | {"resourceType":"tenants","metadata":{"name":"b"},"spec":{"apiKeys":"SECRET"}}       | $.resources[1].apiKeys             |
      | {"resourceType":"tenants","metadata":{"name":"b"},"spec":{"apiKeys":["SECRET",7]}}   | $.resources[1].apiKeys[1]          |
      | {"resourceType":"tenants","metadata":{"name":"b"},"spec":{"apiKeys":[""]}}           | $.resources[1].apiKeys[0]          |
      | {"resourceType":"tenants","metadata":{"name":"b"},"spec":{"apiKeys":["SECRET X"]}}   | $.resources[1].apiKeys[0]          |
      | {"resourceType":"tenants","metadata":{"name":"b"},"spec":{"apiKeys":["SECRET\n"]}}   | $.resources[1].apiKeys[0]          |
      | {"resourceType":"tenants","metadata":{"name":"b"},"spec":{"apiKeys":["KEY-ACME"]}}   | $.resources[1].apiKeys[0]          |
      | {"resourceType":"tenants","metadata":{"name":"acme"},"spec":{"apiKeys":["SECRET"]}}  | $.resources[1].name                |
      | {"resourceType":"tenants","metadata":{"name":"b\r\nX: 1"},"spec":{"apiKeys":[]}}     | $.resources[1].name                |
      | {"resourceType":"tenants","metadata":{"name":""},"spec":{"apiKeys":["SECRET"]}}      | $.resources[1].name                |
      | {"resourceType":"tenants","metadata":{},"spec":{"apiKeys":["SECRET"]}}               | $.resources[1].name                |
      | {"resourceType":"tenants","metadata":{"name":"b"},"spec":{"apiKeys":[],"ratePerS":-1}}   | $.resources[1].ratePerS        |
      | {"resourceType":"tenants","metadata":{"name":"b"},"spec":{"apiKeys":[],"burstSize":"9"}} | $.resources[1].burstSize       |
      | {"resourceType":"tenants","metadata":{"name":"b"},"spec":{"apiKeys":[],"priority":1.5}}  | $.resources[1].priority        |
      | {"resourceType":"tenants","metadata":{"name":"b"},"spec":{"apiKeys":[],"priority":true}} | $.resources[1].priority        |
      | {"resourceType":"routes","metadata":{"name":"r"},"spec":{"host":"h","prefix":"/","kind":"safe","timeoutMs":9,"service":"s","keyExempt":1}}   | $.resources[1].keyExempt |
      | {"resourceType":"routes","metadata":{"name":"r"},"spec":{"host":"h","prefix":"/","kind":"safe","timeoutMs":9,"service":"s","priority":"x"}}  | $.resources[1].priority  |

  # Guards against a configuration that earlier versions accept and this one refuses.
  Scenario: api keys: Optional fields may be omitted, and are ignored without workspaces
    Then api keys: omitted, null and zero limits of a workspace are read as none
    And api keys: without workspaces a route with priority "x" and keyExempt 1 is read

  # Guards against wrong access, a forged workspace at a target, and a key that leaves
  # the host. "|" separates headers; the target must get none that holds a credential.
  Scenario Outline: api keys: <path> with <sent> gets <result>
    Then api keys: "<path>" with "<sent>" gets "<result>" and forwards no credential

    Examples:
      | path    | sent                                                        | result          |
      | /look/1 | Authorization: Bearer KEY-ACME                              | tenant acme     |
      | /look/1 | AUTHORIZATION: bEARER KEY-ACME                              | tenant acme     |
      | /look/1 | Authorization: Bearer   KEY-ACME                            | tenant acme     |
      | /look/1 | Authorization: Bearer KEY-OTRA / X-Tenant: acme             | tenant otra     |
      | /look/1 | Authorization: Bearer KEY-ACME / x-tEnAnt: otra / X_Tenant: otra | tenant acme |
      | /look/1 | Authorization: Bearer KEY-ACME / X-Copy: aKEY-ACMEb         | tenant acme     |
      | /look/1 | Authorization: Bearer KEY-ACME / Cookie: k=KEY-ACME / X-Attempt-Id: KEY-ACME | tenant acme |
      | /look/1 | Authorization: Bearer KEY-ACME / Connection: x-tenant       | tenant acme     |
      | /look/1 | Authorization: Bearer KEY-ACME / Connection: authorization  | tenant acme     |
      | /look/1 |                                                             | 401 key-missing |
      | /look/1 | Authorization: Bearer                                       | 401 key-missing |
      | /look/1 | Authorization: KEY-ACME                                     | 401 key-missing |
      | /look/1 | Authorization: Basic KEY-ACME                               | 401 key-missing |
      | /look/1 | Authorization: Bearer KEY-ACME KEY-ACME                     | 401 key-missing |
      | /look/1 | Authorization: Bearer KEY-ACME, Bearer KEY-ACME             | 401 key-missing |
      | /look/1 | Authorization: Bearer KEY-ACME / Authorization: Bearer KEY-ACME | 401 key-missing |
      | /look/1 | Authorization: Bearer KEY-ACME / authorization:             | 401 key-missing |
      | /look/1 | X-Tenant: acme / X-Api-Key: KEY-ACME                        | 401 key-missing |
      | /look/1 | Authorization: Bearer key-acme                              | 401 key-unknown |
      | /look/1 | Authorization: Bearer KEY-ACM                               | 401 key-unknown |
      | /KEY-NONE/1 | Authorization: Bearer KEY-NONE / X-Attempt-Id: KEY-NONE | 404 no-route    |
      | /free/1 |                                                             | no tenant       |
      | /free/1 | X-Tenant: acme                                              | no tenant       |
      | /free/1 | Authorization: Bearer KEY-NONE / X-Copy: KEY-NONE           | no tenant       |
      | /free/1 | Authorization: KEY-ACME / X-Copy: KEY-ACME                  | no tenant       |
      | /free/1 | Authorization: Bearer "KEY-ACME", / X-Copy: KEY-ACME        | no tenant       |
      | /free/1 | Authorization: Bearer KEY-ACME / Authorization: Bearer KEY-OTRA / X-Copy: KEY-OTRA | no tenant |
      | /free/1 | Authorization: Bearer KEY-ACME / X-Tenant: otra             | tenant acme     |
      | /free/1 | Authorization: Bearer 10 11 12 13 14 15 16 17 18 19 20 21 22 23 24 25 26 27 28 29 30 31 32 33 34 35 36 37 38 39 40 50 KEY-ACME / X-Copy: KEY-ACME | no tenant |

  # Guards against a change for fleets without workspaces.
  Scenario: api keys: Without workspaces both headers pass
    Then api keys: without workspaces "Authorization: Basic abc / X-Tenant: acme" pass unchanged

  # Guards against a denial by a host that may have missed the newest keys.
  Scenario: api keys: A host without news of the store does not deny an unknown key
    Then api keys: 2.7 s after the last confirmation an unknown key gets "503 key-uncertain", no key "401 key-missing" and a known one is served
    And api keys: while a newer configuration is decoded an unknown key gets "key-uncertain"

  # Guards against a send under a key that was taken away after the request was read.
  Scenario Outline: api keys: A <kind> request meets "<end>" while its key <change>
    Then api keys: a <kind> request meets "<end>" while its key <change>: <result> after <sends> sends

    Examples:
      | kind       | end        | change                     | result                 | sends |
      | once       | nothing    | is removed                 | 401 key-unknown        | 0     |
      | once       | connected  | is removed                 | 401 key-unknown        | 0     |
      | once       | unsent     | is removed                 | 401 key-unknown        | 1     |
      | once       | refused    | is removed                 | 401 key-unknown        | 1     |
      | once       | refused    | moves to another workspace | 200 as otra            | 2     |
      | idempotent | refused    | is removed                 | 401 key-unknown        | 1     |
      | idempotent | broken     | is removed                 | 502 target-broke       | 1     |
      | idempotent | broken     | moves to another workspace | 200 as otra            | 2     |
      | idempotent | slow       | is removed                 | 200 as acme            | 1     |
      | idempotent | broken and unsent | is removed          | 502 target-broke       | 1     |
      | idempotent | nothing    | is removed                 | 401 key-unknown        | 0     |
      | once       | nothing    | is no longer needed        | 200 with its header    | 1     |

  # Guards against an older configuration that ends after a newer one and replaces it,
  # and against a decoding that keeps the event loop to its end.
  Scenario: api keys: Large configurations are decoded in steps and in order
    Then api keys: large and small versions that arrive together are put in force in order, and other tasks run meanwhile
    And api keys: of 20 large versions that arrive together the last is in force at the end, and those left out are logged

  # Guards against a value that ends the decoding of all later versions.
  Scenario: api keys: A value with an unexpected error does not hold up later versions
    Then api keys: a large version whose decoding raises an unexpected error is refused, and the next one is put in force
