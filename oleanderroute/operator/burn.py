"""Counts served and failed requests for the burn report."""


class BurnLedger:
    """Requests of this host by service, class and cause.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock):
        self.clock = clock

    def record(self, context, answer, elapsed_s):
        """Count one finished request.

        Parameters
        ----------
        context : RequestContext
        answer : CallerAnswer
        elapsed_s : float
            Seconds since the request's first byte.
        """
