"""ASGI applications of a host: callers, readiness and metrics."""

import falcon.asgi

from ..entry.app import CallerApplication
from ..operator.exposition import metrics_page, page_headers


class HostApplication(CallerApplication):
    """Serves callers without adding the default headers to answers."""

    def answer_headers(self, answer, request):
        """Return the headers of an answer."""
        return list(answer.headers)


class Readiness:
    """Readiness endpoint for the load balancer."""

    def __init__(self, is_ready):
        self.is_ready = is_ready

    async def on_get(self, request, response):
        """Answer 200 if the host accepts new connections, else 503."""
        response.status = 200 if self.is_ready() else 503


class MetricsPage:
    """Metrics endpoint for scrapers."""

    def __init__(self, metrics):
        self.metrics = metrics

    async def on_get(self, request, response):
        """Answer the metrics in the Prometheus text format."""
        response.data = await metrics_page(self.metrics.registry)
        for name, value in page_headers().items():
            response.set_header(name, value)


def status_application(readiness_path, is_ready, metrics):
    """Build the application of the readiness port."""
    application = falcon.asgi.App()
    application.add_route(readiness_path, Readiness(is_ready))
    application.add_route("/metrics", MetricsPage(metrics))
    return application
