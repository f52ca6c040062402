Feature: The record of the first fleet

  # Guards against hosts that vote on claims although an older voter, or one that
  # does not answer, may have granted some that they don't know.
  Scenario Outline: bootstrap: With <hosts> the record is <result>
    Given bootstrap: a region of three hosts, and a fourth in another region
    When bootstrap: the first-ranked host meets <hosts>
    Then bootstrap: the record is <result>

    Examples:
      | hosts                          | result                      |
      | young hosts                    | created with three members  |
      | a host that does not answer    | not created                 |
      | a host older than a claim      | not created                 |
      | a record of another creator    | the other creator's         |
