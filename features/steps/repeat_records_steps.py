"""Steps on the repeats that a fleet spent before its hosts started."""

import asyncio
from types import SimpleNamespace

from behave import then, when

from features.steps.host_decisions_steps import make_view
from features.steps.thin_links_steps import SETTLE_S, make_exchange, make_forwarder
from features.support.revisions import revision_at
from oleanderroute.clock import ManualClock
from oleanderroute.decisions.spent_repeats import repeats_to_record
from oleanderroute.host.model import StoreItem
from oleanderroute.outcome import CallerOutcome
from oleanderroute.platform import documents

PER_HOST_S = 12
CALM_S = 12.0
REFUSING_S = 9.0
TAIL_S = 10.0
PAUSE_S = 0.3
# From the end of a process to its copy of the store and contact with the others.
START_S = 1.0


class Traffic:
    """Requests to the hosts that run, at random times.

    Attributes
    ----------
    results : list of tuple of (float, bool)
        When each request was sent, and whether a target answered it.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.forwarders = {}
        self.results = []
        self.requests = []
        fleet.requests = []

    async def send(self, host_id, until):
        fleet = self.fleet
        number = 0
        while fleet.loop.now < until:
            await asyncio.sleep(fleet.loop.rng.expovariate(PER_HOST_S))
            host = fleet.hosts[host_id]
            if host_id not in fleet.works or host.view.configuration is None:
                continue
            if self.forwarders.get(host_id, (None,))[0] is not host:
                self.forwarders[host_id] = (host, make_forwarder(host))
            number += 1
            # Without hedged sends, the targets see what the hosts count.
            attempt_id = f"{host_id}/{number}".encode()
            exchange = make_exchange("once", attempt_id, fleet.loop.now)
            fleet.requests.append(fleet.loop.now)
            work = self.run(self.forwarders[host_id][1], exchange, fleet.loop.now)
            self.requests.append(asyncio.ensure_future(work))

    async def run(self, forwarder, exchange, sent_at):
        answer = await forwarder.run(exchange)
        is_refusal = getattr(answer, "outcome", None) is CallerOutcome.NOT_RUN
        self.results.append((sent_at, not is_refusal))


async def end_host(fleet, host_id, ended):
    if ended == "stopped":
        await fleet.hosts[host_id].follower.deregister()
    await fleet.restart_host(host_id, PAUSE_S)


@when(
    "repeat records: {which} hosts are {ended} {after_s:g} s after targets begin to "
    "refuse {share:g} of the requests"
)
def step_restart(context, which, ended, after_s, share):
    fleet = context.fleet
    counts = {"no": 0, "two": 2, "half": len(fleet.hosts) // 2, "all": 10**6}
    traffic = context.traffic = Traffic(fleet)

    async def scenario():
        await asyncio.sleep(SETTLE_S)
        until = fleet.loop.now + CALM_S + REFUSING_S + TAIL_S
        callers = [traffic.send(host_id, until) for host_id in fleet.hosts]
        callers = asyncio.gather(*callers)
        await asyncio.sleep(CALM_S)
        fleet.refused_share = share
        await asyncio.sleep(after_s)
        ends = []
        for host_id in list(fleet.hosts)[: counts[which]]:
            ends.append(end_host(fleet, host_id, ended))
        await asyncio.gather(*ends)
        context.restarted_at = fleet.loop.now
        await asyncio.sleep(REFUSING_S - after_s)
        fleet.refused_share = 0.0
        await callers
        await asyncio.gather(*traffic.requests)

    fleet.run(scenario())


@then(
    "repeat records: at least {share:g} of the requests after the restart are answered"
)
def step_answered(context, share):
    since = context.restarted_at + START_S
    found = [is_ok for at, is_ok in context.traffic.results if at >= since]
    assert len(found) > 100, len(found)
    assert sum(found) >= share * len(found), (sum(found), len(found))


@then(
    "repeat records: at most {most:d} calls of the store are writes of records, and "
    "none remains"
)
def step_few_writes(context, most):
    shared = context.fleet.shared
    prefix = documents.REPEATS_PREFIX
    written = [x for x in shared.history if x.key.startswith(prefix)]
    assert 1 <= len(written) <= most, len(written)
    assert not [key for key in shared.items if key.startswith(prefix)]


@then("repeat records: one host wrote them")
def step_one_writer(context):
    prefix = documents.REPEATS_PREFIX
    history = context.fleet.shared.history
    writers = {item.key for item in history if item.key.startswith(prefix)}
    assert len(writers) == 1, writers


@then(
    "repeat records: with {recorded:d} recorded and {counted:d} of {limit:g} counted, "
    "{due:d} is due"
)
def step_due(context, recorded, counted, limit, due):
    found = repeats_to_record(recorded, counted, limit)
    assert found == due, found


ODD_RECORDS = {
    "no JSON": b"\xff{",
    "a list": b"[]",
    "a text for a count": b'{"s": {"first_sends": 1, "repeats": "1"}}',
    "a negative count": b'{"s": {"first_sends": 1, "repeats": -1}}',
    "a count of 10^12": b'{"s": {"first_sends": 1000000000000, "repeats": 1}}',
    "a missing count": b'{"s": {"repeats": 1}}',
    "a service as number": b'{"s": 7}',
}


@then("repeat records: a record with {oddity} is left out and the others hold")
def step_odd_record(context, oddity):
    view = make_view(ManualClock(100.0))
    spent = SimpleNamespace(first_sends=50, repeats=20)
    key, value = documents.encode_repeats("edge-9", {"s": spent})
    odd_key = documents.REPEATS_PREFIX + "odd"
    odd = StoreItem(odd_key, revision_at(1), ODD_RECORDS[oddity])
    items = [odd, StoreItem(key, revision_at(2), value)]
    view.news.apply_listing(documents.FLEET_PREFIX, items, revision_at(2))
    allowance = view.allowance_of("s")
    assert allowance.repeat_count() == 20, allowance.repeat_count()
    assert allowance.first_send_count() == 50, allowance.first_send_count()
