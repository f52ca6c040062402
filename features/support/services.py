"""Declared services for tests."""

from oleanderroute.declaration.model import Objective, Service, Target


def make_service(targets, slots=2, floor_slots=2, ramp_s=10.0):
    listed = tuple(Target(f"t{n}", "127.0.0.1", 1 + n, "a") for n in range(targets))
    objective = Objective(0.99, 100)
    return Service(
        "s", "r", listed, slots, 330, floor_slots, 0.5, objective, ramp_s=ramp_s
    )
