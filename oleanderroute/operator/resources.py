"""HTTP resources of the operator port."""

import asyncio
import gzip
from dataclasses import asdict

import falcon
import orjson

from .exposition import page_headers

# The fastest level already shortens the page to a sixteenth.
PAGE_COMPRESSION = 1


class Liveness:
    """``GET /live``: 200 while the event loop runs."""

    async def on_get(self, request, response):
        """Answer at once."""
        response.media = {"live": True}


class Readiness:
    """``GET /ready``: 200 while new requests are welcome.

    Parameters
    ----------
    daemon : Daemon
    """

    def __init__(self, daemon):
        self.daemon = daemon

    async def on_get(self, request, response):
        """Answer 503 without a declaration and while draining."""
        ready = self.daemon.is_ready()
        response.media = {"ready": ready}
        if not ready:
            response.status = falcon.HTTP_503


class Status:
    """``GET /status``: what this host is and sees."""

    def __init__(self, daemon):
        self.daemon = daemon

    async def on_get(self, request, response):
        """Answer with the status document."""
        response.data = to_json(self.daemon.status())
        response.content_type = falcon.MEDIA_JSON


class Explain:
    """``GET /explain?service=&target=``: why targets are in or out."""

    def __init__(self, daemon):
        self.daemon = daemon

    async def on_get(self, request, response):
        """Answer with the reason that the code used, per target."""
        service = request.get_param("service", required=True)
        entry = self.daemon.serving.entries.get(service)
        if entry is None:
            raise falcon.HTTPNotFound(title=f"no service {service}")
        wanted = request.get_param("target")
        now = self.daemon.clock.now()
        targets = []
        for target_id in entry.router.views:
            if wanted is not None and target_id != wanted:
                continue
            targets.append(target_document(entry.router.explain(target_id, now)))
        if wanted is not None and not targets:
            raise falcon.HTTPNotFound(title=f"no target {wanted} in {service}")
        document = {"service": service, "targets": targets}
        document["admission"] = admission_state(entry.admission_queue.admission)
        response.data = to_json(document)
        response.content_type = falcon.MEDIA_JSON


class Report:
    """``GET /report?service=``: this host's part of the burn report."""

    def __init__(self, daemon):
        self.daemon = daemon

    async def on_get(self, request, response):
        """Answer with the counts, latencies, spenders and incidents."""
        service = request.get_param("service")
        if service is not None and service not in self.daemon.serving.entries:
            raise falcon.HTTPNotFound(title=f"no service {service}")
        response.data = to_json(await self.daemon.report(service))
        response.content_type = falcon.MEDIA_JSON


class Metrics:
    """``GET /metrics``: Prometheus' text format, which every scraper accepts."""

    def __init__(self, daemon):
        self.daemon = daemon
        # Two scrapers at once would clear each other's gauges.
        self.lock = asyncio.Lock()

    async def on_get(self, request, response):
        """Answer with the page."""
        async with self.lock:
            page = await self.daemon.render_metrics()
        for name, value in page_headers().items():
            response.set_header(name, value)
        response.set_header("Vary", "Accept-Encoding")
        if accepts_gzip(request.get_header("Accept-Encoding", default="")):
            # With 450 services a page of 0.9 MB every 15 s is six times what a host
            # may send. The thread lets requests be served meanwhile.
            page = await asyncio.to_thread(gzip.compress, page, PAGE_COMPRESSION)
            response.set_header("Content-Encoding", "gzip")
        response.data = page


def accepts_gzip(accept_encoding):
    """Tell whether an ``Accept-Encoding`` header allows gzip."""
    for item in accept_encoding.lower().split(","):
        coding, _, parameters = item.partition(";")
        if coding.strip() not in {"gzip", "*"}:
            continue
        return parameters.replace(" ", "") not in {"q=0", "q=0.0", "q=0.00", "q=0.000"}
    return False


class Switches:
    """``POST /switches``: cuts links to failure domains, for failure tests."""

    def __init__(self, link_filter):
        self.link_filter = link_filter

    async def on_post(self, request, response):
        """Set the failure domains to and from which messages are dropped."""
        document = await request.get_media()
        self.link_filter.blocked_out = set(document.get("blocked_out", ()))
        self.link_filter.blocked_in = set(document.get("blocked_in", ()))
        response.media = {"ok": True}


def admission_state(admission):
    """Return the figures of an ``Admission`` for operators."""
    return {
        "limit": admission.limit,
        "share": admission.share,
        "waiting": admission.waiting_count(),
        "in_flight": {
            kind.name.lower(): count for kind, count in admission.in_flight.items()
        },
        "expected_s": {
            kind.name.lower(): seconds for kind, seconds in admission.expected_s.items()
        },
    }


def target_document(explanation):
    """Return the JSON value of a ``TargetExplanation``.

    ``reason`` is the text that verdicts carry between hosts and log records show;
    ``figures`` are its parts.
    """
    document = asdict(explanation)
    document["state"] = explanation.state.name.lower()
    document["reason"] = explanation.reason.encode()
    document["figures"] = document_of_reason(explanation.reason)
    return document


def document_of_reason(reason):
    """Return the parts of a ``VerdictReason`` as a JSON value."""
    document = asdict(reason)
    document["signal"] = reason.signal.value
    document["restraint"] = reason.restraint.value
    return document


def to_json(document):
    """Return JSON bytes of a value without enumeration members."""
    return orjson.dumps(document)
