Feature: Answers on kept connections, cut and repeated

  # Guards against "not run" for a request that a target runs, and against its second run
  # elsewhere, because the target wrote an earlier refusal once more (REFUSED, TWICE).
  # An answer without an id can't be told from an earlier one on a kept connection.
  Scenario Outline: An earlier <answer> <id> is written once more <when> the next request
    Given kept connections: a target that writes its <answer> <id> once more <when> the next request
    Then kept connections: the next request gets <result>

    Examples:
      | answer  | id          | when   | result          |
      | refusal | with its id | before | its own answer  |
      | refusal | with its id | after  | its own answer  |
      | refusal | without id  | before | its own answer  |
      | refusal | without id  | after  | an unknown end  |
      | success | with its id | before | its own answer  |
      | success | with its id | after  | its own answer  |
      | success | without id  | before | its own answer  |
      | success | without id  | after  | an unknown end  |

  # Guards against a short or empty answer that is passed on as a whole one (MIXED, ORDER).
  Scenario Outline: A <form> answer that is <ending> within its <part> is no answer
    Then kept connections: a <form> answer that is <ending> after each byte of its <part> fails

    Examples:
      | form      | part | ending |
      | sized     | head | closed |
      | sized     | head | reset  |
      | sized     | body | closed |
      | sized     | body | reset  |
      | chunked   | head | closed |
      | chunked   | head | reset  |
      | chunked   | body | closed |
      | chunked   | body | reset  |
      | unframed  | head | closed |
      | unframed  | head | reset  |
      | unframed  | body | reset  |

  # Guards against bytes of a faulty target that reach a caller as a success, because an
  # answer was judged by its connection's age and not by its seal and id (MIXED).
  Scenario Outline: A success with <marks> is not passed on
    Then kept connections: no success with <marks> is passed on, of any kind

    Examples:
      | marks                  |
      | nothing                |
      | an id, no seal         |
      | an id, an empty seal   |
      | a seal, no id          |
      | a seal, an empty id    |
      | two ids                |
      | two ids, its own first |
      | a rejection's mark     |
      | an encoding            |

  Scenario: A success with seal and id is passed on, whatever its framing
    Then kept connections: each kind of success with seal and id is passed on

  # Guards against a status below 100 that is taken for an interim answer, and interim
  # answers without end: the caller waited for its whole deadline.
  Scenario Outline: <count> answers with status <status> before the answer <end>
    Then kept connections: <count> answers with status <status> before the answer <end> within 1 s

    Examples:
      | count | status | end              |
      | 1     | 000    | fail the request |
      | 1     | 001    | fail the request |
      | 1     | 099    | fail the request |
      | 1     | 101    | fail the request |
      | 1     | 600    | fail the request |
      | 1     | 999    | fail the request |
      | 33    | 102    | fail the request |
      | 1     | 100    | are passed over  |
      | 32    | 103    | are passed over  |

  # Guards against a part of an answer that is passed on as a whole one, because its target
  # closed or reset the connection while the upload was still being written (MIXED).
  Scenario Outline: An early <framing> answer to an upload, <ending> after <delay_s> s, is not whole
    Then kept connections: an early <framing> answer to uploads, <ending> after <delay_s> s, fails

    Examples:
      | framing  | ending | delay_s |
      | unframed | reset  | 0       |
      | unframed | reset  | 0.05    |
      | unframed | reset  | 0.4     |
      | unframed | closed | 0       |
      | unframed | closed | 0.05    |
      | unframed | closed | 0.4     |
      | sized    | reset  | 0.05    |
      | sized    | closed | 0.05    |
      | chunked  | reset  | 0.05    |
      | chunked  | closed | 0.05    |

  Scenario: An unframed answer to an upload that was read is whole
    Then kept connections: an unframed answer to an upload that was read is passed on

  # Guards against an answer that is made of two, the first of which broke off in its head:
  # an order that ran was sent again, or its failure passed for a success (TWICE, MIXED).
  Scenario Outline: An earlier <earlier> breaks off in its head before <own>, arriving <pieces>
    Then kept connections: an earlier <earlier> cut after each byte of its head, then <own>, <pieces>, is never mixed

    Examples:
      | earlier | own       | pieces      |
      | refusal | a success | at once     |
      | refusal | a success | in pieces   |
      | refusal | a failure | at once     |
      | success | a failure | at once     |
      | success | a failure | in pieces   |
      | success | a success | at once     |
