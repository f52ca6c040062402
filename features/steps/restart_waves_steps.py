"""Steps on what callers get while hosts restart beside changes, in virtual time."""

import asyncio
import random

import orjson
from behave import given, then, when

from features.support.caller_view import WAVES, CallerView, ChangeWriter, play_waves
from features.support.host_group import configuration_of
from features.support.thin_links import VirtualFleet

START_SPREAD_S = 0.3


@given(
    "restart waves: {domains:d} failure domains of {hosts:d} hosts, {targets:d} "
    "targets and a large configuration"
)
def step_fleet(context, domains, hosts, targets):
    document = orjson.loads(configuration_of(1, True))
    context.fleet = VirtualFleet([100.0] * hosts, domains, document, targets)
    context.targets = targets


@when("restart waves: the fleet {trouble}, {waves:d} times, seed {seed:d}")
def step_waves(context, trouble, waves, seed):
    fleet = context.fleet
    fleet.loop.rng.seed(seed)
    fleet.start_spread_s = START_SPREAD_S
    rng = random.Random(seed)
    writer = ChangeWriter(fleet.shared, fleet.loop, rng, context.targets)
    view = CallerView(fleet, writer)

    async def scenario():
        sampling = asyncio.ensure_future(view.sample())
        await play_waves(fleet, WAVES[trouble], writer, view, waves)
        sampling.cancel()

    fleet.run(scenario())
    context.cases = list(view.cases.values())


@then("restart waves: no host in touch uses what was replaced 2 s before")
def step_no_case(context):
    assert not context.cases, context.cases


@then("restart waves: no host differed from another at the same revision")
def step_no_difference(context):
    assert context.fleet.differences_found() == 0
