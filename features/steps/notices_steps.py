"""Steps on notices between hosts, over a messenger that delivers at once."""

import asyncio

from behave import given, then, when

from oleanderroute.clock import ManualClock
from oleanderroute.errors import PeerError
from oleanderroute.platform.hostlist import HostEntry, HostList, MemberState
from oleanderroute.tasks.drainreports import DrainReporter
from oleanderroute.tasks.notices import NoticeCourier
from oleanderroute.topology import Topology

TARGET = "t0"


class DirectMessenger:
    """Hands notices to the receiving host's reporter."""

    def __init__(self, world):
        self.world = world

    async def ask(self, host, kind, notice, timeout_s):
        if host.host_id == self.world.unreachable:
            raise PeerError("no answer")
        self.world.received[host.host_id] += 1
        return self.world.reporters[host.host_id].receive(notice, None)


class NoticeWorld:
    """Hosts with one drain reporter each, and what they were told."""

    def __init__(self, count):
        clock = ManualClock()
        hosts = []
        for number in range(count):
            hosts.append(
                HostEntry(
                    f"h{number}", "127.0.0.1", 1, 2, 3, "a", "r", MemberState.LIVE
                )
            )
        self.reporters = {}
        self.received = {host.host_id: 0 for host in hosts}
        self.marked = set()
        self.unreachable = None
        for host in hosts:
            topology = Topology(host, clock)
            topology.update(HostList(1, tuple(hosts), ()))
            courier = NoticeCourier(topology, DirectMessenger(self))
            reporter = DrainReporter(topology, courier, clock)
            reporter.mark_draining = self.marker(host.host_id)
            self.reporters[host.host_id] = reporter
        self.announcer = topology.drain_announcer_of(TARGET).host_id

    def marker(self, host_id):
        def mark(service_name, target_id):
            self.marked.add((host_id, service_name, target_id))

        return mark

    async def settle(self):
        """Wait until no notice is under way."""
        while True:
            pending = set()
            for reporter in self.reporters.values():
                pending |= reporter.courier.pending
            if not pending:
                return
            await asyncio.wait(pending)


@given("{count:d} hosts that pass drain notices on, {state}")
def step_hosts(context, count, state):
    context.world = NoticeWorld(count)
    if state == "the announcer unreachable":
        context.world.unreachable = context.world.announcer


@when('{count:d} of the hosts see "{target_id}" of "{service}" drain')
def step_see(context, count, target_id, service):
    world = context.world

    async def play():
        seers = [one for one in world.reporters if one != world.unreachable]
        for host_id in seers[:count]:
            world.reporters[host_id].report(service, target_id)
            world.reporters[host_id].report(service, target_id)
        await world.settle()

    asyncio.run(play())


@then('all hosts that answer take "{target_id}" of "{service}" out')
def step_all_out(context, target_id, service):
    world = context.world
    for host_id in world.reporters:
        if host_id != world.unreachable:
            assert (host_id, service, target_id) in world.marked, host_id


@then("each host gets at most {limit:d} drain notices")
def step_limit(context, limit):
    most = max(context.world.received.values())
    assert most <= limit, context.world.received
