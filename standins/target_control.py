"""The control port of the target stand-in: gray modes, ledger and counters."""

from dataclasses import asdict

from aiohttp import web

from .target_state import FlapRule, GrayModes, PartitionRule, SlowRule

# New work that a draining target still accepts after the drain began; the fleet
# has to react within this time.
DEFAULT_DRAIN_GRACE_S = 3.0
DEFAULT_COLD_S = 10.0


class UnknownMode(Exception):
    """A control request names a mode that does not exist."""


class TargetControl:
    """Handlers of the control port.

    Parameters
    ----------
    state : TargetState
    """

    def __init__(self, state):
        self.state = state
        self.setters = {
            "reset": self.reset,
            "slow_for": self.set_slow,
            "fail_share": self.set_fail_share,
            "fail_status": self.set_plain("fail_status", int),
            "fail_only_real": self.set_plain("fail_only_real", bool),
            "silent": self.set_silent,
            "crash_on": self.set_plain("crash_on", str),
            "break_midway": self.set_plain("break_midway", float),
            "flap": self.set_flap,
            "partition": self.set_partition,
            "freeze_answers": self.set_freeze,
            "cold": self.set_cold,
            "drain": self.set_drain,
            "load_fixed": self.set_plain("load_fixed", dict),
        }

    def application(self):
        """Return the aiohttp application."""
        app = web.Application()
        app.router.add_post("/control", self.post_control)
        app.router.add_get("/ledger", self.get_ledger)
        app.router.add_get("/stats", self.get_stats)
        return app

    async def post_control(self, request):
        """Set the modes that the body names; a null value clears a mode."""
        wanted = await request.json()
        try:
            for name, value in wanted.items():
                self.set_mode(name, value)
        except UnknownMode as error:
            return web.json_response({"error": str(error)}, status=400)
        except (TypeError, ValueError) as error:
            return web.json_response({"error": repr(error)}, status=400)
        return web.json_response(asdict(self.state.modes))

    def set_mode(self, name, value):
        """Set one mode."""
        setter = self.setters.get(name)
        if setter is None:
            raise UnknownMode(name)
        setter(value)

    def set_plain(self, name, convert):
        """Return a setter that converts and stores a value."""

        def set_value(value):
            default = getattr(GrayModes(), name)
            stored = default if value is None else convert(value)
            setattr(self.state.modes, name, stored)

        return set_value

    def reset(self, _value):
        """Clear all modes, the drain and the cold phase."""
        self.set_freeze(False)
        self.set_drain(None)
        self.set_cold(None)
        self.state.modes = GrayModes()

    def set_slow(self, value):
        """Slow requests of some failure domains."""
        self.state.modes.slow_for = None if value is None else SlowRule(**value)

    def set_fail_share(self, value):
        """Fail a share of the requests; ``{share, status}`` or a number."""
        if isinstance(value, dict):
            self.state.modes.fail_status = int(value.get("status", 500))
            value = value["share"]
        self.state.modes.fail_share = float(value or 0.0)

    def set_silent(self, value):
        """Make the connections that are open now silent for good."""
        if not value:
            return
        for connection in list(self.state.connections):
            connection.fall_silent()

    def set_flap(self, value):
        """Alternate bad and good halves of ``period_s`` seconds each."""
        rule = None if value is None else FlapRule(float(value["period_s"]))
        self.state.modes.flap = rule

    def set_partition(self, value):
        """Cut failure domains off in one way."""
        rule = None if value is None else PartitionRule(**value)
        self.state.modes.partition = rule

    def set_freeze(self, value):
        """Hold answers back, or send those that were held."""
        self.state.modes.freeze_answers = bool(value)
        if value:
            return
        held, self.state.held_answers = self.state.held_answers, []
        for exchange in held:
            exchange.answer()

    def set_cold(self, value):
        """Begin a cold phase now, or end one."""
        if not value:
            self.state.cold_until = 0.0
            return
        fields = value if isinstance(value, dict) else {}
        options = self.state.options
        self.state.start_cold(
            float(fields.get("cold_s", options.cold_s or DEFAULT_COLD_S)),
            float(fields.get("factor", options.cold_factor)),
            float(fields.get("share", options.cold_share)),
        )

    def set_drain(self, value):
        """Begin to drain, or stop draining."""
        if not value:
            self.state.stop_drain()
            return
        fields = value if isinstance(value, dict) else {}
        self.state.start_drain(float(fields.get("grace_s", DEFAULT_DRAIN_GRACE_S)))

    async def get_ledger(self, _request):
        """Return every run in the order of its start."""
        return web.json_response([asdict(row) for row in self.state.ledger.rows])

    async def get_stats(self, _request):
        """Return counters and the load of this moment."""
        stats = {
            "target_id": self.state.options.target_id,
            "load": self.state.measure_load(),
            "counters": dict(self.state.counters),
            "runs": len(self.state.ledger.rows),
            "is_cold": self.state.is_cold(),
            "drain_age_s": self.state.drain_age_s(),
        }
        return web.json_response(stats)
