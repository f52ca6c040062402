"""Queue of the findings and crashes that a host has to send to others."""

import itertools
from dataclasses import dataclass

from ..decisions.health import START_FINDINGS, Finding

# A datagram of so many observations fits in an Ethernet frame.
MAX_OBSERVATIONS = 24
# The largest observation, and what an announcement adds beside the workspace's name.
OBSERVATION_BYTES = 58
ANNOUNCEMENT_BYTES = 6
# Observations that wait at a hub whose link can't carry more.
MAX_QUEUED = 20 * MAX_OBSERVATIONS
URGENT = frozenset(
    {
        Finding.FAILED,
        Finding.OVERDUE,
        Finding.LONG_OVERDUE,
        Finding.UNREACHABLE,
        Finding.LEAVING,
    }
)


class Outbox:
    """Findings and crashes to be sent in one direction.

    Parameters
    ----------
    service_of : callable, optional
        Returns the service of a target id; needed to reduce a long queue.
    """

    def __init__(self, service_of=None):
        self.observations = []
        self.crashes = []
        self.service_of = service_of

    def add(self, observations, crashes):
        """Queue observations and crashes."""
        self.observations += observations
        self.crashes += crashes
        if len(self.observations) > MAX_QUEUED:
            self.reduce()

    def reduce(self):
        """Keep what the receivers need most, in half of the queue.

        Of the starts of a host's sends the newest tells how many there were, to a
        service and of a workspace. Starts and urgent findings take turns, so that
        neither holds up the other.
        """
        starts = {}
        urgent = {}
        others = {}
        for observation in self.observations:
            kind = observation.kind
            target_id = observation.target_id
            if kind in START_FINDINGS:
                service = self.service_of(target_id)
                key = (kind, observation.host_id, service, observation.workspace)
                replace_last(starts, key, observation)
            elif kind in URGENT:
                replace_last(urgent, target_id, observation)
            else:
                replace_last(others, target_id, observation)
        ordered = []
        for pair in itertools.zip_longest(reversed(starts.values()), urgent.values()):
            ordered += [observation for observation in pair if observation is not None]
        ordered += others.values()
        self.observations = ordered[: MAX_QUEUED // 2]

    def is_empty(self):
        """Tell whether nothing is queued."""
        return not self.observations and not self.crashes

    def pop_batch(self):
        """Remove and return all crashes and the next observations that fit."""
        count = 0
        room = MAX_OBSERVATIONS * OBSERVATION_BYTES
        for observation in self.observations[:MAX_OBSERVATIONS]:
            room -= OBSERVATION_BYTES
            if observation.workspace is not None:
                room -= len(observation.workspace.encode()) + ANNOUNCEMENT_BYTES
            if room < 0 and count > 0:
                break
            count += 1
        observations = self.observations[:count]
        self.observations = self.observations[count:]
        crashes = self.crashes
        self.crashes = []
        return observations, crashes


def replace_last(kept, key, value):
    """Set a key of a dict and move it to the end."""
    kept.pop(key, None)
    kept[key] = value


@dataclass(slots=True)
class TrafficCount:
    """Datagrams and bytes in one direction since the process started."""

    datagrams: int = 0
    size: int = 0

    def add(self, datagrams, size):
        """Count datagrams of ``size`` bytes each."""
        self.datagrams += datagrams
        self.size += datagrams * size
