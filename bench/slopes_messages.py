"""Bytes on the wire, and microseconds to encode and decode, per kind of message."""

from dataclasses import dataclass

import orjson

from oleanderroute.declaration.chunks import Change, split
from oleanderroute.peer.codec import FRAME_LENGTH, encode_frame
from oleanderroute.peer.envelope import (
    HeaderState,
    decode_reply,
    decode_request,
    make_header,
)
from oleanderroute.peer.gen.oleander_messages.ttypes import (
    AttemptSummary,
    Chunk,
    ChunkReply,
    ChunkRequest,
    ClaimReply,
    ClaimRequest,
    ClaimUpdate,
    ManifestReply,
    ManifestRequest,
    OutcomeReport,
    PeerReply,
    PeerRequest,
    ReplyBody,
    RequestBody,
    ServiceReport,
    ServiceVerdicts,
    SlotReply,
    SlotRequest,
    TargetVerdict,
    VerdictDelta,
)
from oleanderroute.platform.hostlist import host_list_from_document
from oleanderroute.tasks.hostchanges import HostListHistory

from .slopes_documents import FULL, declaration_document, host_list_document
from .slopes_fit import constant, fit, processor_us
from .slopes_serving import make_identity

CALLS = 300
VERSION = 1_800_000_000_000
KEY = "workspace-00001/route-1/5f0c6d8e-8d4c-7d7b-9d61-0a1b2c3d4e5f"
FINGERPRINT = "9f" * 32
OWNER = "q0QyX1mN3aZt8WbL"


@dataclass(frozen=True, slots=True)
class MessageCost:
    """What one message costs.

    Attributes
    ----------
    encode_us, decode_us : float
        Microseconds of processor time.
    """

    size_bytes: int
    encode_us: float
    decode_us: float


def header():
    """Return the header of a host of the full-size fleet."""
    state = HeaderState(25_000, 300_000, 12_345.678, 2.345)
    return make_header(make_identity(), state)


def request_cost(calls=CALLS, **body):
    """Return the cost of a request."""
    message = PeerRequest(1_000, header(), RequestBody(**body))
    return cost(message, decode_request, calls)


def reply_cost(calls=CALLS, **body):
    """Return the cost of a reply."""
    message = PeerReply(1_000, header(), ReplyBody(**body))
    return cost(message, decode_reply, calls)


def cost(message, decode, calls):
    """Encode and decode a message many times."""
    frame = encode_frame(message)
    body = frame[FRAME_LENGTH.size :]
    return MessageCost(
        len(frame),
        processor_us(lambda: encode_frame(message), calls),
        processor_us(lambda: decode(body), calls),
    )


def report(services, summaries, latencies=1):
    """Return an outcome report of some services with some summaries each."""
    reports = []
    for number in range(services):
        attempts = []
        for index in range(summaries):
            attempts.append(
                AttemptSummary(
                    f"service-{number}-{index:02d}",
                    0,
                    0,
                    latencies,
                    [18_000 + index] * latencies,
                )
            )
        reports.append(ServiceReport(f"service-{number}", attempts, [], VERSION))
    return OutcomeReport(reports)


def delta(services, targets):
    """Return verdicts on some targets of some services."""
    answers = []
    for number in range(services):
        verdicts = []
        for index in range(targets):
            verdicts.append(
                TargetVerdict(f"service-{number}-{index:02d}", 0, 1.0, "none", 0)
            )
        answers.append(ServiceVerdicts(f"service-{number}", VERSION, verdicts))
    return VerdictDelta(answers)


def lines(name, sizes, cost_of):
    """Return the slopes of bytes, encoding and decoding of one kind of message."""
    costs = [(size, cost_of(size)) for size in sizes]
    return [
        fit(f"{name}: bytes", "B", [(n, one.size_bytes) for n, one in costs]),
        fit(f"{name}: encode", "us", [(n, one.encode_us) for n, one in costs]),
        fit(f"{name}: decode", "us", [(n, one.decode_us) for n, one in costs]),
    ]


def single(name, measure):
    """Return the costs of a message of one size, measured three times."""
    costs = [measure() for _ in range(3)]
    return [
        constant(f"{name}: bytes", "B", [one.size_bytes for one in costs]),
        constant(f"{name}: encode", "us", [one.encode_us for one in costs]),
        constant(f"{name}: decode", "us", [one.decode_us for one in costs]),
    ]


def report_slopes():
    """Return the slopes of reports and verdicts."""
    found = lines(
        "report, summary",
        (1, 8, 32),
        lambda n: request_cost(outcome_report=report(1, n)),
    )
    found += lines(
        "report, latency of a summary",
        (1, 8, 16),
        lambda n: request_cost(outcome_report=report(1, 1, n)),
    )
    found += lines(
        "report, quiet service",
        (1, 4, 16),
        lambda n: request_cost(outcome_report=report(n, 0)),
    )
    found += lines(
        "verdict delta, target",
        (1, 8, 32),
        lambda n: reply_cost(verdict_delta=delta(1, n)),
    )
    found += lines(
        "verdict delta, service without change",
        (1, 4, 16),
        lambda n: reply_cost(verdict_delta=delta(n, 0)),
    )
    return found


def claim_slopes():
    """Return the costs of claim and slot messages."""
    holders = ["host-000", "host-001", "host-002"]
    asked = ClaimRequest(KEY, OWNER, FINGERPRINT, holders)
    granted = ClaimReply(0, OWNER, reason="free")
    found = single("claim request", lambda: request_cost(claim_request=asked))
    found += single("claim reply", lambda: reply_cost(claim_reply=granted))
    found += lines(
        "claim completion, body byte",
        (64, 1024, 16384),
        lambda n: request_cost(claim_update=completion(n)),
    )
    slot = SlotRequest("service-100", OWNER, 1, "service-100-07", [])
    leased = SlotReply(1, "service-100-07", "")
    found += single("slot request", lambda: request_cost(slot_request=slot))
    found += single("slot reply", lambda: reply_cost(slot_reply=leased))
    return found


def completion(body_bytes):
    """Return the update that records an answer."""
    headers = {"content-type": "application/json"}
    return ClaimUpdate(
        KEY, OWNER, 1, 200, b"x" * body_bytes, headers, None, FINGERPRINT
    )


def configuration_slopes():
    """Return the costs of manifests and chunks."""
    ask = ManifestRequest(25_000)
    same = ManifestReply(25_000, None)
    found = single("manifest request", lambda: request_cost(manifest_request=ask))
    found += single("manifest unchanged", lambda: reply_cost(manifest_reply=same))
    points = []
    chunk_points = []
    for part in (0.25, 0.5, 1.0):
        text = orjson.dumps(declaration_document(FULL.share(part))).decode()
        manifest, chunks = split(text, Change(25_000, "n" * 32, "author", "text"))
        head = ManifestReply(25_000, manifest.encode().encode())
        points.append((len(chunks), reply_cost(50, manifest_reply=head)))
        chunk_points.append(sum(map(len, chunks.values())) / len(chunks))
    found.append(
        fit("manifest, chunk: bytes", "B", [(n, c.size_bytes) for n, c in points])
    )
    found.append(constant("chunks of the declaration", "1", [points[-1][0]]))
    found.append(constant("bytes of a chunk", "B", chunk_points))
    digest = "ab" * 32
    found += single(
        "chunk request", lambda: request_cost(chunk_request=ChunkRequest([digest]))
    )
    found += lines(
        "chunk reply, byte",
        (10_000, 25_000, 50_000),
        lambda n: reply_cost(50, chunk_reply=ChunkReply([Chunk(digest, b"x" * n)])),
    )
    return found


def host_list_slopes():
    """Return the costs of a host list change and of a complete list."""
    document = host_list_document(FULL)
    first = host_list_from_document(document)
    found = []
    costs = []
    for changed in (1, 4, 16):
        history = HostListHistory()
        history.record(first, change_hosts(document, changed))
        after = change_hosts(document, changed)
        reply = history.encode(after, 1)
        costs.append((changed, reply_cost(host_list_reply=reply).size_bytes))
    found.append(fit("host list change, host: bytes", "B", costs))
    reply = HostListHistory().encode(first, 0)
    whole = reply_cost(5, host_list_reply=reply).size_bytes
    found.append(constant("complete host list of a peer: bytes", "B", [whole]))
    plain = len(orjson.dumps(document))
    found.append(constant("complete host list of the platform", "B", [plain]))
    return found


def change_hosts(document, count):
    """Return the next host list, in which some hosts are leaving."""
    hosts = []
    for index, host in enumerate(document["hosts"]):
        state = "leaving" if index < count else "live"
        hosts.append({**host, "state": state})
    return host_list_from_document({**document, "version": 2, "hosts": hosts})


def message_slopes():
    """Return the costs of all kinds of messages."""
    blank = single(
        "header with frame",
        lambda: request_cost(manifest_request=ManifestRequest(0)),
    )
    found = blank + report_slopes() + claim_slopes()
    return found + configuration_slopes() + host_list_slopes()
