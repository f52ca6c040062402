"""Filter of the messages to and from other hosts, used by failure tests."""


class LinkFilter:
    """Decides which peer messages are dropped.

    A one-way cut between failure domains drops requests or replies in one
    direction only. The filter is empty unless a test sets it over the operator
    port of a daemon whose settings allow it.
    """

    def __init__(self):
        self.blocked_out = set()
        self.blocked_in = set()

    def drops_outgoing(self, failure_domain):
        """Return whether messages to ``failure_domain`` are dropped."""
        return failure_domain in self.blocked_out

    def drops_incoming(self, failure_domain):
        """Return whether messages from ``failure_domain`` are dropped."""
        return failure_domain in self.blocked_in
