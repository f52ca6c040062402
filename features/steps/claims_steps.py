"""Steps on at-most-once claims."""

import uuid

from behave import given, then, when

from features.support.claims_machine import run_claims_machine
from features.support.claims_simulation import PROTOCOLS, LedgerViolation
from features.support.claims_traces import run_trace
from oleanderroute.clock import ManualClock
from oleanderroute.decisions import claims
from oleanderroute.decisions.claims import UpdateResult, VoteKind, VoteReason
from oleanderroute.decisions.fingerprint import claim_key

LIFETIME_S = 600.0
HOSTS = [claims.RankedHost(name, name) for name in ("a", "b", "c")]
ASKED = ["a", "b", "c"]
KINDS = {
    VoteReason.FREE: VoteKind.GRANTED,
    VoteReason.OTHER_OWNER: VoteKind.HELD,
    VoteReason.RECORDED: VoteKind.COMPLETED,
}


def make_table(clock, incarnation=1, limits=None, bootstrap=True):
    limits = limits or claims.ClaimLimits()
    now = clock.now()
    view = claims.HolderView("a", incarnation, LIFETIME_S, now, limits)
    view.update(1, HOSTS, now)
    view.confirm(1, now, now)
    if bootstrap:
        members = tuple(claims.BootstrapMember(host, 1) for host in HOSTS)
        view.apply_bootstrap_record(claims.BootstrapRecord(members), now)
    return claims.ClaimTable(LIFETIME_S, limits, clock, view)


def ask(table, clock, key="o:k", owner="me", fingerprint="f", asked=ASKED):
    return table.request(key, owner, fingerprint, asked, clock.now())


@when('claims run as "{protocol}" for {examples:d} examples from seed {seed:d}')
def step_run(context, protocol, examples, seed):
    context.result = "no violation"
    try:
        run_claims_machine(PROTOCOLS[protocol], seed, examples)
    except LedgerViolation as violation:
        context.result = str(violation)


@when('claims meet "{trace}" as "{protocol}"')
def step_trace(context, trace, protocol):
    context.result = "no violation"
    try:
        run_trace(trace, protocol)
    except LedgerViolation as violation:
        context.result = str(violation)


@then('claims end with "{result}"')
def step_result(context, result):
    assert context.result == result, context.result


@when('claims get the votes "{votes}"')
def step_votes(context, votes):
    clock = ManualClock()
    context.round = claims.ClaimRound(
        ASKED, "me", LIFETIME_S, claims.ClaimLimits(), clock
    )
    for holder, word in zip(ASKED, votes.split(), strict=True):
        if word.startswith("late:"):
            clock.advance(10)
        if word == "-":
            continue
        reason = VoteReason(word.removeprefix("late:"))
        vote = claims.ClaimVote(KINDS.get(reason, VoteKind.REFUSED), reason)
        context.round.add_vote(holder, vote)
    context.round.close()
    # Time between the latest start of a run and the earliest expiry of a grant.
    margin_s = (
        1_800_000_000
        + LIFETIME_S
        - context.round.dispatch_deadline_unix_s(10 * LIFETIME_S)
    )
    assert margin_s == 30, margin_s


@then('claims decide "{decision}" and release {released:d} holders')
def step_decision(context, decision, released):
    assert context.round.decision().kind.value == decision, context.round.decision()
    assert len(context.round.holders_to_release()) == released


@when('a claims holder that is "{state}" is asked')
def step_holder(context, state):
    clock = ManualClock()
    is_bootstrap = state in ("bootstrap", "other incarnation", "bootstrap relisted")
    incarnation = 2 if state == "other incarnation" else 1
    table = make_table(clock, incarnation, bootstrap=is_bootstrap)
    view = table.view
    if not is_bootstrap:
        for _ in range(11 if state == "649 s old" else 12):
            clock.advance(59.0)
            view.confirm(1, clock.now(), clock.now())
    if state == "unconfirmed for 60s":
        clock.advance(60.0)
    if state == "back after 600s":
        clock.advance(LIFETIME_S)
        view.confirm(1, clock.now(), clock.now())
    if state in ("delisted", "bootstrap relisted"):
        view.update(2, HOSTS[1:], clock.now())
    if state == "delisted":
        # A delisted holder must refuse even if it is old enough.
        view.listed_since = 0.0
        view.confirm(2, clock.now(), clock.now())
    if state == "bootstrap relisted":
        view.update(3, HOSTS, clock.now())
        view.confirm(3, clock.now(), clock.now())
    asked = ["b", "c"] if state == "not asked" else ASKED
    context.vote = ask(table, clock, asked=asked)


@when("claims are asked with a UUIDv7 key {age:d} s old")
def step_key_age(context, age):
    clock = ManualClock()
    created_ms = int((clock.wall() - age) * 1000)
    text = uuid.UUID(int=created_ms << 80 | 7 << 76 | 2 << 62 | 5)
    context.vote = ask(make_table(clock), clock, claim_key("w", "r", str(text)))


@then('the claims vote is "{reason}"')
def step_vote(context, reason):
    assert context.vote.reason.value == reason, context.vote


@given("a claims table bounded to {entries:d} entries and {size:d} bytes")
def step_bounded(context, entries, size):
    context.clock = ManualClock()
    limits = claims.ClaimLimits(max_entries=entries, max_bytes=size)
    context.claim_table = make_table(context.clock, limits=limits)


@when("claims are granted until the table refuses")
def step_fill(context):
    for number in range(10):
        context.vote = ask(context.claim_table, context.clock, f"o:{number}")
        if context.vote.kind is not VoteKind.GRANTED:
            break
    assert context.vote.reason is VoteReason.TABLE_FULL
    context.granted = number


@then("the claims table held {entries:d} entries and still reports each as held")
def step_held(context, entries):
    assert context.granted == entries
    for number in range(entries):
        vote = ask(context.claim_table, context.clock, f"o:{number}", "other")
        assert vote.kind is VoteKind.HELD, vote


@then("the claims table grants again {seconds:d} s later")
def step_later(context, seconds):
    context.clock.advance(seconds)
    now = context.clock.now()
    context.claim_table.view.confirm(1, now, now)
    # The gap restarted the holder's age, so the test makes the holder old enough.
    context.claim_table.view.listed_since = 0.0
    assert ask(context.claim_table, context.clock).kind is VoteKind.GRANTED
    assert len(context.claim_table.claims) == 1


@when("a claims answer of {size:d} bytes is recorded")
def step_record(context, size):
    ask(context.claim_table, context.clock)
    answer = claims.RecordedAnswer(201, {}, b"x" * size)
    context.claim_table.complete("o:k", "me", answer, context.clock.now())
    context.vote = ask(context.claim_table, context.clock, owner="other")


@then('the claims vote is "recorded" with the body {kept}')
def step_body(context, kept):
    assert context.vote.kind is VoteKind.COMPLETED
    assert context.vote.answer.status == 201
    assert (context.vote.answer.body is not None) == (kept == "whole")


@then("claims releases and completions obey the owner's token")
def step_owner(context):
    table, now = context.claim_table, context.clock.now()
    answer = claims.RecordedAnswer(200)
    ask(table, context.clock)
    ask(table, context.clock, "o:held")
    assert table.release("o:k", "other", now) is UpdateResult.NOT_OWNER
    assert table.complete("o:k", "other", answer, now) is UpdateResult.NOT_OWNER
    assert table.complete("o:k", "me", answer, now) is UpdateResult.APPLIED
    assert table.release("o:k", "me", now) is UpdateResult.ALREADY_COMPLETED
    reused = ask(table, context.clock, owner="other", fingerprint="g")
    assert reused.reason is VoteReason.OTHER_REQUEST


@then("claims absorbed by a young holder are held or recorded, not granted")
def step_handover(context):
    clock = context.clock
    young = make_table(clock, incarnation=9)
    clock.advance(30)
    young.import_claims(context.claim_table.export(clock.now()), clock.now())
    assert ask(young, clock, "o:k", "other").kind is VoteKind.COMPLETED
    assert ask(young, clock, "o:held", "other").kind is VoteKind.HELD
    assert ask(young, clock, "o:new").reason is VoteReason.HOLDER_TOO_YOUNG
    assert young.claims["o:held"].granted_at == clock.now() - 30
