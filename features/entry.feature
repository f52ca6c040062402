Feature: The data path from callers to targets and back
  In the tables, ~ stands for CR LF. A result is "status body flags" or
  "error flags".

  # Guards against handing on a fragment or a wrongly framed answer as whole (P2), and
  # against reusing a connection whose position in the stream is in doubt.
  Scenario Outline: entry: An answer is whole or the exchange fails
    Given entry: a target that answers "<answer>" and then <ending>
    When entry: the pool sends <method> /x
    Then entry: the result is "<result>"
    And entry: <idle> connections are idle

    Examples: whole answers
      | method | answer                                                                     | ending     | result                  | idle |
      | GET    | HTTP/1.1 200 OK~Content-Length: 3~~abc                                     | stays open | 200 abc                 | 1    |
      | GET    | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~2~ab~1~c~0~~                   | stays open | 200 abc                 | 1    |
      | GET    | HTTP/1.1 204 None~~                                                        | stays open | 204                     | 1    |
      | GET    | HTTP/1.1 304 Same~Content-Length: 99~~                                     | stays open | 304                     | 1    |
      | HEAD   | HTTP/1.1 200 OK~Content-Length: 99~~                                       | stays open | 200                     | 1    |
      | GET    | HTTP/1.1 100 Continue~~HTTP/1.1 103 Hints~A: b~~HTTP/1.1 200 OK~Content-Length: 1~~a | stays open | 200 a         | 1    |
      | GET    | HTTP/1.1 200 OK~Content-Length: 1~Connection: close~~a                     | closes     | 200 a closes            | 0    |
      | GET    | HTTP/1.1 200 OK~Content-Length: 1~Connection: close~X-Draining: 1~~a       | closes     | 200 a closes draining   | 0    |
      | GET    | HTTP/1.1 503 Busy~Content-Length: 0~X-Not-Started: 1~~                     | stays open | 503 not_started         | 1    |
      | GET    | HTTP/1.1 500 Bad~Content-Length: 0~X-Not-Started: 1~~                      | stays open | 500                     | 1    |
      | GET    | HTTP/1.0 200 OK~Content-Length: 1~~a                                       | closes     | 200 a                   | 0    |
      | GET    | HTTP/1.1 200 OK~Content-Length: 1~~aHTTP/1.1 200 OK~Content-Length: 1~~b   | stays open | 200 a                   | 0    |
      | GET    | HTTP/1.1 204 None~~x                                                       | stays open | 204                     | 0    |
      | HEAD   | HTTP/1.1 200 OK~Content-Length: 3~~abc                                     | stays open | 200                     | 0    |

    Examples: broken answers
      | method | answer                                                                     | ending     | result                  | idle |
      | GET    | HTTP/1.1 200 OK~Content-Length: 3~~ab                                      | closes     | ConnectionBroken sent   | 0    |
      | GET    | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~2~ab~                          | closes     | ConnectionBroken sent   | 0    |
      | GET    | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~2~ab~0~                        | closes     | ConnectionBroken sent   | 0    |
      | GET    | HTTP/1.1 200 OK~Content-Le                                                 | closes     | ConnectionBroken sent   | 0    |
      | GET    |                                                                            | closes     | ConnectionBroken sent   | 0    |
      | GET    | HTTP/1.1 200 OK~~abc                                                       | closes     | MalformedAnswer sent    | 0    |
      | GET    | HTTP/1.1 200 OK~Content-Length: 3~Content-Length: 2~~abc                   | stays open | MalformedAnswer sent    | 0    |
      | GET    | HTTP/1.1 200 OK~Content-Length: 3~Transfer-Encoding: chunked~~0~~          | stays open | MalformedAnswer sent    | 0    |
      | GET    | HTTP/1.1 200 OK~Transfer-Encoding: gzip~~abc                               | stays open | MalformedAnswer sent    | 0    |
      | GET    | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~3~abcd~0~~                     | stays open | MalformedAnswer sent    | 0    |
      | GET    | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~zz~abc~0~~                     | stays open | MalformedAnswer sent    | 0    |
      | GET    | HTTP/1.1 101 Switch~Upgrade: x~Connection: upgrade~~                       | stays open | MalformedAnswer sent    | 0    |
      | GET    | HTTP/1.1 700 Odd~Content-Length: 0~~                                       | stays open | MalformedAnswer sent    | 0    |
      | GET    | SSH-2.0-server~                                                            | stays open | MalformedAnswer sent    | 0    |
      | GET    |                                                                            | is silent  | FirstByteTimeout sent   | 0    |
      | GET    | HTTP/1.1 200                                                               | stalls     | BetweenBytesTimeout sent | 0   |
      | GET    | HTTP/1.1 200 OK~Content-Length: 3~~ab                                      | stalls     | BetweenBytesTimeout sent | 0   |
      | GET    | HTTP/1.1 100 Continue~~                                                    | is silent  | FirstByteTimeout sent   | 0    |

  # Guards against counting a request as sent that provably never left (P3).
  Scenario: entry: A refused connection sent nothing
    Given entry: a target that does not listen
    When entry: the pool sends GET /x
    Then entry: the result is "ConnectFailed"

  Scenario: entry: A busy connection limit sends nothing
    Given entry: a target that answers "" and then stays open
    When entry: the pool sends GET /x over 2 connections, 1 permitted
    Then entry: the result is "ConnectionLimitReached"

  # Guards against sending on a connection whose close the kernel has seen already and
  # the event loop has not.
  Scenario: entry: A connection that closed while idle is not reused
    Given entry: a target that answers GET and HEAD
    When entry: the pool sends GET, the target closes at once, the pool sends GET
    Then entry: the results are "2 x 200 ok"

  # Guards against a parser that waits for the body of a HEAD answer.
  Scenario: entry: A connection is reused after HEAD
    Given entry: a target that answers GET and HEAD
    When entry: the pool sends HEAD and GET on one connection
    Then entry: the results are "200, 200 ok"

  # Guards against resending silently, and against losing that bytes were sent.
  Scenario: entry: A reused connection that breaks is reported, not retried
    Given entry: a target that answers the first request of a connection only
    When entry: the pool sends 2 requests in turn
    Then entry: the results are "200 ok, ConnectionBroken sent reused"

  # F9: a silent connection makes older ones suspect; a fresh one works.
  Scenario: entry: A silent connection retires the ones opened before it
    Given entry: a target whose 3rd connection is silent on its 2nd request
    When entry: the pool opens 4 connections, uses the 3rd once more and a fresh one
    Then entry: the results are "FirstByteTimeout sent reused, 200 ok"

  # P2: guards against an answer that reaches the request after the one it belongs to.
  Scenario: entry: A late answer never reaches another request
    Given entry: a target that answers every 2nd request only after its time limit
    When entry: the pool sends 6 requests in turn
    Then entry: the results are "200 0, FirstByteTimeout sent reused, 200 2, FirstByteTimeout sent reused, 200 4, FirstByteTimeout sent reused"

  # F6: after a pause of the process, timers run before the sockets are read. Without
  # the skipped round, every target with an answer in the socket would count as silent.
  Scenario: entry: A pause of the process does not make targets silent
    When entry: a sweep's round comes 10 seconds after a deadline
    Then entry: the member is told only by the next round

  # Guards against reading on for an upload that the target has already refused, and
  # against reusing its connection.
  Scenario: entry: A refusal in the middle of an upload is delivered
    Given entry: an entry before a target that refuses uploads after their first bytes
    When entry: a caller starts an upload of 900000 bytes and sends 1000
    Then entry: the caller's connection ends with statuses "503"
    And entry: the target sees its connection closed

  Scenario: entry: Cancelling an exchange closes the target's connection
    Given entry: a target that answers "" and then stays open
    When entry: an exchange is cancelled in progress
    Then entry: the target sees its connection closed

  # Guards against request smuggling: what is refused or ignored must not reach the
  # pipeline, and a queue behind a slow answer must not hold a target.
  Scenario Outline: entry: Ambiguous requests are refused
    Given entry: an entry before a target that answers "HTTP/1.1 200 OK~Content-Length: 2~~ok" and then stays open
    When entry: a caller sends "<request>"
    Then entry: the caller's connection ends with statuses "<statuses>"
    And entry: the pipeline handled <handled> requests

    Examples:
      | request                                                                                       | statuses | handled |
      | GET / HTTP/1.1~Host: a~Connection: close~~                                                    | 200      | 1       |
      | GET / HTTP/1.1~~                                                                              | 400      | 0       |
      | GET / HTTP/1.1~Host: a~Host: b~~                                                              | 400      | 0       |
      | POST / HTTP/1.1~Host: a~Content-Length: 3~Transfer-Encoding: chunked~~0~~                     | 400      | 0       |
      | POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~Content-Length: 3~~0~~                     | 400      | 0       |
      | POST / HTTP/1.1~Host: a~Content-Length: 3~Content-Length: 4~~abcd                             | 400      | 0       |
      | POST / HTTP/1.1~Host: a~Content-Length: 3, 3~~abc                                             | 400      | 0       |
      | POST / HTTP/1.1~Host: a~Content-Length: +3~~abc                                               | 400      | 0       |
      | POST / HTTP/1.1~Host: a~Content-Length: -3~~abc                                               | 400      | 0       |
      | POST / HTTP/1.1~Host: a~Content-Length : 3~~abc                                               | 400      | 0       |
      | POST / HTTP/1.1~Host: a~Transfer-Encoding: gzip, chunked~~0~~                                 | 400      | 0       |
      | POST / HTTP/1.1~Host: a~Transfer-Encoding: identity~~0~~                                      | 400      | 0       |
      | POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~Transfer-Encoding: chunked~~0~~            | 400      | 0       |
      | POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~0x1~a~0~~                                 | 400      | 0       |
      | POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~1~ab~0~~                                  | 400      | 0       |
      | POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~ffffffffffffffffff~ab~0~~                 | 400      | 0       |
      | GET / HTTP/1.1~Host: a~B: c~ d: e~~                                                           | 400      | 0       |
      | GET / HTTP/1.1~ Host: a~~                                                                     | 400      | 0       |
      | GET http://a/b HTTP/1.1~Host: a~~                                                             | 400      | 0       |
      | GET /a#b HTTP/1.1~Host: a~~                                                                   | 400      | 0       |
      | GET /a/../b HTTP/1.1~Host: a~~                                                                | 400      | 0       |
      | GET /a/%2e%2e/b HTTP/1.1~Host: a~~                                                            | 400      | 0       |
      | CONNECT a:1 HTTP/1.1~Host: a~~                                                                | 400      | 0       |
      | POST / HTTP/1.1~Host: a~Connection: upgrade~Upgrade: h2c~Content-Length: 1~~a                 | 400      | 0       |
      | GET / HTTP/1.0~Host: a~~                                                                      | 505      | 0       |
      | NONSENSE~~                                                                                    | 400      | 0       |
      | GET / HTTP/1.1~Host: a~~GET /2 HTTP/1.1~Host: a~~GET /3 HTTP/1.1~Host: a~~                    | 200      | 1       |
      | POST / HTTP/1.1~Host: a~Content-Length: 1~~xGET /2 HTTP/1.1~Host: a~~                         | 200      | 1       |
      | GET / HTTP/1.1~Host: a~Connection: upgrade~Upgrade: h2c~~GET /2 HTTP/1.1~Host: a~~            | 200      | 1       |

  Scenario Outline: entry: A caller stays within its limits
    Given entry: an entry with small limits
    When entry: a caller sends <bytes> bytes of <part>
    Then entry: the caller's connection ends with statuses "<statuses>"
    And entry: the pipeline handled 0 requests

    Examples:
      | part             | bytes | statuses |
      | one header       | 5000  | 431      |
      | an endless value | 5000  | 431      |
      | short headers    | 1500  | 431      |
      | request target   | 5000  | 431      |
      | declared body    | 2000  | 413      |

  # P3: the head of a chunked request has left before its body is found too large.
  Scenario: entry: A chunked body over the bound is not told as not run
    Given entry: an entry with small limits
    When entry: a caller sends 2000 bytes of chunked body
    Then entry: the caller got "http/1.1 413,oleander-outcome: unknown" and not "not-run"

  Scenario Outline: entry: A slow caller is ended
    Given entry: an entry with small limits
    When entry: a caller sends "<sent>" and then nothing for <seconds> seconds
    Then entry: the caller's connection ends with statuses "<statuses>"

    Examples:
      | sent                                               | seconds | statuses |
      | GET / HT                                           | 11      | 408      |
      | GET / HTTP/1.1~Host: a~A:                          | 11      | 408      |
      | POST / HTTP/1.1~Host: a~Content-Length: 9~~abc     | 31      |          |
      |                                                    | 76      |          |

  Scenario: entry: Callers over the connection limit are told so
    Given entry: an entry with small limits
    When entry: 5 callers connect
    Then entry: the last caller's connection ends with statuses "503"

  # P2 for large bodies, both ways, with bounded memory.
  Scenario Outline: entry: Large bodies arrive unchanged
    Given entry: an entry before a target that echoes digests and large answers
    When entry: a caller uploads <up> bytes <framing> and downloads <down> bytes
    Then entry: both digests match

    Examples:
      | up      | framing  | down    |
      | 9000000 | sized    | 100     |
      | 9000000 | chunked  | 100     |
      | 10      | sized    | 9000000 |
      | 70000   | chunked  | 70000   |

  # Guards against buffering without bound for a caller or target that is slow.
  Scenario Outline: entry: Backpressure reaches the sender
    Given entry: an entry before a target that <target>
    When entry: a caller <caller>
    Then entry: at most 12000000 of 60000000 bytes leave the sender

    Examples:
      | target                     | caller                      |
      | sends 60000000 bytes       | reads nothing               |
      | reads nothing              | uploads 60000000 bytes      |

  # P2: guards against a cut answer that looks complete.
  Scenario Outline: entry: A large answer that breaks off resets the caller
    Given entry: an entry before a target that breaks off a <framing> answer after 200000 bytes
    When entry: a caller sends "GET / HTTP/1.1~Host: a~~"
    Then entry: the caller's connection is reset

    Examples:
      | framing |
      | sized   |
      | chunked |

  Scenario: entry: A caller that leaves cancels the target's work
    Given entry: an entry before a target that answers "" and then stays open
    When entry: a caller leaves while its request is in progress
    Then entry: the target sees its connection closed

  Scenario: entry: Expect 100-continue is answered only when the body is wanted
    Given entry: an entry with small limits
    When entry: a caller expects 100 for bodies of 10 and 2000 bytes
    Then entry: the interim statuses are "100 none"

  # P6: a planned stop cuts nothing that is in flight.
  Scenario: entry: A stop lets requests end
    Given entry: an entry before a target that answers late
    When entry: the server stops with a request in flight and one on an old connection
    Then entry: the caller's connection ends with statuses "200 200"
    And entry: no request was cut and new connections are refused

  # Guards against a stop under load that resets connections which the kernel has
  # accepted and the process has not.
  Scenario: entry: A stop answers requests on connections that were just accepted
    Given entry: an entry before a target that answers each request after 0.05 s
    When entry: the server stops at the moment at which 40 callers have connected and sent
    Then entry: each of them got the status 200
    And entry: no request was cut and new connections are refused

  Scenario: entry: Hop-by-hop and forged headers are not forwarded
    Given entry: an entry before a target that answers "HTTP/1.1 200 OK~Content-Length: 2~Connection: X-Hop~X-Hop: 1~Oleander-Outcome: not-run~Kept: 1~~ok" and then stays open
    When entry: a caller sends "GET / HTTP/1.1~Host: a~Connection: close, X-One~X-One: 1~TE: trailers~X-Entry-Host: me~X-Two: 2~~"
    Then entry: the target got "x-two" and not "x-one te: x-entry-host connection"
    And entry: the caller got "kept: 1,oleander-outcome: answered" and not "x-hop not-run"
