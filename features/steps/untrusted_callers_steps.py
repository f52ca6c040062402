"""Steps on callers that a host can't trust."""

from behave import given, then, when

from features.steps.host_steps import peak_memory_bytes
from features.support.platform_fleet import PlatformFleet
from features.support.untrusted_callers import (
    DescriptorCount,
    UntrustedCrowd,
    wait_for_answer,
)

MIB = 1024 * 1024
# Long enough for the time limits on callers that send or read nothing to pass.
ORDINARY_TIMEOUT_S = 30.0


@given(
    "untrusted: a host with limits.memoryMb={memory:d}, limits.maxFds={files:d} "
    "and bodies of {legal:d} bytes"
)
def step_host(context, memory, files, legal):
    fleet = PlatformFleet(context.processes)
    context.fleet = fleet
    fleet.configure(10, max_body_bytes=legal)
    for target_id in ("t1", "t2"):
        fleet.start_target(target_id)
    settings = [f"limits.memoryMb={memory}", f"limits.maxFds={files}"]
    context.host = fleet.start_host("h1", 1, settings=settings)
    context.memory_bytes = memory * MIB
    context.most_descriptors = files
    context.descriptors = DescriptorCount(context.host)
    fleet.wait_until(lambda: len(fleet.log("h1", 640)) == 2, "h1 knows t1 and t2")


def send_load(context, load, count):
    host = context.host
    crowd = UntrustedCrowd(host.address, host.caller_port, context.descriptors)
    context.stack.callback(crowd.close)
    crowd.send(load, count)


@when('untrusted: {count:d} callers send bodies of kind "{load}"')
def step_load(context, count, load):
    send_load(context, load, count)


@when("untrusted: {count:d} callers ask for answers without end and read nothing")
def step_unread(context, count):
    send_load(context, "answers left unread", count)


@when("untrusted: {count:d} callers send heads that stop short")
def step_heads(context, count):
    send_load(context, "incomplete heads", count)


@when("untrusted: one caller sends {size:d} bytes in a body")
def step_large(context, size):
    answer = context.fleet.send("h1", "POST", "/order/large", "large", b"x" * size)
    context.status = answer[0]


@then("untrusted: its status is 200")
def step_status(context):
    assert context.status == 200, context.status


@then("untrusted: the host answers an ordinary request")
def step_ordinary(context):
    context.descriptors.sample()
    wait_for_answer(context.fleet, "h1", ORDINARY_TIMEOUT_S)
    context.descriptors.sample()


@then("untrusted: the host stayed within its limits")
def step_limits(context):
    assert context.host.is_running(), "the host has ended"
    peak = peak_memory_bytes(context.host)
    most = context.descriptors.most
    print(f"peak {peak / MIB:.1f} MiB, {most} descriptors")
    assert peak <= context.memory_bytes, f"peak memory {peak / MIB:.1f} MiB"
    assert most <= context.most_descriptors, f"{most} open descriptors"
