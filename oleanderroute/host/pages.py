"""Pages of a host for scrapers."""

import falcon.asgi

from ..operator.exposition import metrics_page, page_headers


class MetricsPage:
    """Metrics endpoint for scrapers."""

    def __init__(self, metrics):
        self.metrics = metrics

    async def on_get(self, request, response):
        """Answer the metrics in the Prometheus text format."""
        response.data = await metrics_page(self.metrics.registry)
        for name, value in page_headers().items():
            response.set_header(name, value)


def pages_application(metrics):
    """Build the application that serves the pages."""
    application = falcon.asgi.App()
    application.add_route("/metrics", MetricsPage(metrics))
    return application
