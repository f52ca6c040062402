"""Limits on memory and connections that follow from the settings of a host."""

import os
from math import inf
from pathlib import Path

from .. import events
from ..decisions.memory_budget import MemoryBudget
from ..entry.caller_protocol import CallerLimits
from ..entry.memory_guard import CONNECTION_BYTES, MemoryGuard
from .requestlog import LogRateLimiter

MEMORY_STATISTICS = Path("/proc/self/statm")
# For the configuration, the targets and hosts that are not known at the start.
GROWTH_BYTES = 12 * 1024 * 1024
# Part of the rest that requests may hold. The allocator keeps part of what was
# released, and a body is copied for a moment when its pieces are joined.
BUDGET_SHARE = 0.75
# With settings that leave less, the host could not even take one body.
MIN_BUDGET_BYTES = 8 * 1024 * 1024
# Part of the budget that open connections may take.
CONNECTIONS_SHARE = 0.25
# A target cuts off an answer that stays unread for some seconds, and is then taken for
# faulty. Callers wait 9 s at most in total.
OPEN_ANSWER_S = 4.0
# Descriptors for files, listeners, gossip and the store.
RESERVED_DESCRIPTORS = 200
# Settings with less have no room for callers; connections are then limited to this.
MIN_CONNECTIONS = 16
# Of the connections of callers, those that only get a 503 answer.
EXCESS_SHARE = 1 / 8
REFUSED_LINES_PER_S = 2.0
PRESSURE_LINES_PER_S = 1.0


def process_bytes():
    """Return the resident memory of this process; 0 where it can't be read."""
    try:
        resident_pages = int(MEMORY_STATISTICS.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return resident_pages * os.sysconf("SC_PAGE_SIZE")


class ResourceLimits:
    """What callers and targets may take of the host.

    The settings are read once, at the start.

    Parameters
    ----------
    settings : HostSettings
    used_bytes : int
        Memory that the process takes without requests.

    Attributes
    ----------
    budget_bytes : int
        What requests may hold; 0 without a limit on memory.
    target_connections : float
        Connections to all targets together.
    """

    def __init__(self, settings, used_bytes):
        self.budget_bytes = 0
        self.target_connections = inf
        self.connection_limits = {}
        if settings.memory_limit_bytes:
            rest_bytes = settings.memory_limit_bytes - used_bytes - GROWTH_BYTES
            self.connection_limits["open_answer_s"] = OPEN_ANSWER_S
            self.budget_bytes = max(MIN_BUDGET_BYTES, int(BUDGET_SHARE * rest_bytes))
            self.limit_callers(
                int(CONNECTIONS_SHARE * self.budget_bytes) // CONNECTION_BYTES
            )
        if settings.descriptor_limit:
            # A caller's connection needs one to a target.
            usable = settings.descriptor_limit - RESERVED_DESCRIPTORS
            half = max(MIN_CONNECTIONS, usable // 2)
            self.limit_callers(half)
            self.target_connections = half

    def limit_callers(self, connections):
        """Limit the connections of callers, with those that only get a refusal."""
        excess = int(connections * EXCESS_SHARE)
        limits = CallerLimits()
        known = self.connection_limits.get("connections", limits.connections)
        if connections - excess >= known:
            return
        self.connection_limits.update(
            connections=connections - excess,
            excess_connections=excess,
            must_make_room=True,
        )

    def caller_limits(self, **others):
        """Return ``CallerLimits`` with the limits on connections."""
        return CallerLimits(**self.connection_limits, **others)


class MemoryReports:
    """Logs and counts what the memory budget does.

    Parameters
    ----------
    metrics : HostMetrics
    clock : Clock
    """

    def __init__(self, metrics, clock):
        self.metrics = metrics
        self.refused_lines = LogRateLimiter(REFUSED_LINES_PER_S, clock)
        self.pressure_lines = LogRateLimiter(PRESSURE_LINES_PER_S, clock)
        self.budget = None

    def make_guard(self, budget_bytes, clock):
        """Return the ``MemoryGuard`` of a host, or None without a budget."""
        if not budget_bytes:
            return None
        self.budget = MemoryBudget(budget_bytes)
        self.metrics.memory_limit.set({}, budget_bytes)
        return MemoryGuard(self.budget, clock, self.refused, self.pressure_changed)

    def refused(self, account):
        """Count a refused request, and log it."""
        self.metrics.memory_refusals.inc({"phase": account.phase.value})
        if not self.refused_lines.try_acquire():
            return
        events.MEMORY_REFUSED.log(
            phase=account.phase.value,
            held_bytes=account.held_bytes,
            all_held_bytes=self.budget.held_bytes,
            left_out=self.refused_lines.pop_suppressed(),
        )

    def pressure_changed(self, is_pressed):
        """Log that bodies have to wait, or no longer."""
        if not self.pressure_lines.try_acquire():
            return
        events.MEMORY_PRESSURE_TURNED.log(
            pressed=is_pressed,
            held_bytes=self.budget.held_bytes,
            limit_bytes=self.budget.limit_bytes,
            left_out=self.pressure_lines.pop_suppressed(),
        )

    def update(self):
        """Set the gauge of what is held."""
        if self.budget is not None:
            self.metrics.memory_held.set({}, self.budget.held_bytes)
