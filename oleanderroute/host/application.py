"""ASGI applications of a host: callers, readiness and metrics."""

import asyncio

from ..entry.app import CallerApplication


class HostApplication(CallerApplication):
    """Serves callers without adding the default headers to answers."""

    def answer_headers(self, answer, request):
        """Return the headers of an answer."""
        return list(answer.headers)


class StatusApplication:
    """Answers the load balancer's readiness check, and passes other paths on.

    The pages for scrapers are built with their first request: a host that has just
    started is needed by callers before it is needed by scrapers.

    Parameters
    ----------
    readiness_path : str
    is_ready : callable
    metrics : HostMetrics
    """

    def __init__(self, readiness_path, is_ready, metrics):
        self.readiness_path = readiness_path
        self.is_ready = is_ready
        self.metrics = metrics
        self.pages = None

    async def __call__(self, scope, receive, send):
        """Handle one request."""
        if scope["type"] == "http" and scope["path"] == self.readiness_path:
            status = 200 if self.is_ready() else 503
            headers = [(b"content-length", b"0")]
            await send(
                {"type": "http.response.start", "status": status, "headers": headers}
            )
            await send({"type": "http.response.body", "body": b""})
            return
        if self.pages is None:
            # In a thread, as the import takes long enough to delay callers.
            self.pages = await asyncio.to_thread(build_pages, self.metrics)
        await self.pages(scope, receive, send)


def build_pages(metrics):
    """Build the application with the pages for scrapers."""
    from .pages import pages_application

    return pages_application(metrics)
