"""Steps on the declaration, its storage form, settings and ranking."""

import copy
import json
from collections import namedtuple
from pathlib import Path

from behave import given, then, when
from hypothesis import HealthCheck
from hypothesis import given as any_of
from hypothesis import settings as run_settings
from hypothesis import strategies as st

from oleanderroute.decisions.holder_ranking import (
    HolderRanking,
    bucket_of,
    rank_distinct_domains,
    rank_score,
)
from oleanderroute.decisions.ranking import rank
from oleanderroute.declaration import chunks as chunk_module
from oleanderroute.declaration.assembly import Assembler, join
from oleanderroute.declaration.chunks import Change, split, split_declaration
from oleanderroute.declaration.cycles import find_cycles
from oleanderroute.declaration.difference import compare
from oleanderroute.declaration.loader import dump, load_declaration
from oleanderroute.errors import ChunkError, SettingsError
from oleanderroute.settings import parse_settings

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
Host = namedtuple("Host", "host_id failure_domain")
repeatable = run_settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)


def service(targets, **changes):
    value = {
        "region": "r1",
        "targets": targets,
        "slots_per_target": 2,
        "connections_per_target": 100,
        "floor_slots": 2,
        "objective": {"success_share": 0.99, "latency_ms": 200},
    }
    return {**value, **changes}


def target(name, number, domain="d1"):
    address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
    return {"id": name, "address": address, "port": 80, "failure_domain": domain}


def route(name, path, service_name, **changes):
    value = {
        "id": name,
        "method": "GET",
        "path": path,
        "service": service_name,
        "class": "quick",
        "repeatability": "idempotent",
        "deadline_ms": 1000,
        "first_byte_ms": 900,
        "between_bytes_ms": 900,
        "max_body_bytes": 0,
    }
    return {**value, **changes}


def small_document():
    return {
        "failure_domains": {"d1": "r1", "d9": "r9"},
        "services": {
            "shop": service([target("s1", 1), target("s2", 2)], depends_on=["store"]),
            "store": service([target("t1", 3), target("t2", 4)]),
        },
        "routes": [
            route("look", "/look", "shop", workspaces="red"),
            route("buy", "/buy", "shop", repeatability="at_most_once"),
            route("see", "/see", "shop", workspaces="blue"),
            route("put", "/put", "store", **{"class": "long"}),
        ],
        "workspace_groups": {"red": ["a", "b"], "blue": ["b", "c"]},
    }


def set_path(document, path, value):
    *parents, last = path.split(".")
    for part in parents:
        document = document[int(part)] if part.isdigit() else document[part]
    document[last] = value


@given("the declaration of two small services")
def step_small(context):
    context.document = small_document()
    assert load_declaration(json.dumps(context.document)).is_ok()


@when("the declaration has {path} set to {value}")
def step_set(context, path, value):
    set_path(context.document, path, json.loads(value))


@then("the declaration is refused at {path} because of {reason}")
def step_refused(context, path, reason):
    problems = load_declaration(json.dumps(context.document)).unwrap_err().problems
    found = [one for one in problems if one.path == path and reason in one.reason]
    assert found, [str(one) for one in problems]


@then("the declaration has {count:d} problems")
def step_count(context, count):
    problems = load_declaration(json.dumps(context.document)).unwrap_err().problems
    assert len(problems) == count, problems


@then("the declaration text {text} is refused because of {reason}")
def step_text(context, text, reason):
    assert reason in str(load_declaration(text).unwrap_err())


@then(
    "the declaration example {name} has {service_name} with {targets:d} targets "
    "of {slots:d} slots"
)
def step_example(context, name, service_name, targets, slots):
    text = (EXAMPLES / f"{name}.json").read_text()
    found = load_declaration(text).unwrap().services[service_name]
    assert (len(found.targets), found.slots_per_target) == (targets, slots)


@given("the declaration of the size planned for two years ahead")
def step_planned(context):
    domains = {f"d{number}": f"r{number % 2}" for number in range(7)}
    document = {"failure_domains": domains, "services": {}, "routes": []}
    for number in range(450):
        targets = []
        for index in range(18 if number < 350 else 17):
            domain = f"d{number % 2 + 2 * (index % 3)}"
            name = f"service-{number}-target-{index}"
            targets.append(target(name, number * 18 + index, domain))
        document["services"][f"service-{number}"] = service(
            targets, region=f"r{number % 2}"
        )
    for number in range(1800):
        document["routes"].append(
            route(f"route-{number}", f"/{number}/*", f"service-{number % 450}")
        )
    groups = document["workspace_groups"] = {}
    for number in range(51_000):
        groups.setdefault(f"group-{number % 30}", []).append(f"workspace-{number}")
    context.document = document
    context.declaration = load_declaration(json.dumps(document)).unwrap()


@then("the declaration's manifest and chunks fit into the store")
def step_fits(context):
    services = context.declaration.services.values()
    assert sum(len(one.targets) for one in services) == 8000
    context.manifest, context.chunks = split_declaration(context.declaration, Change())
    assert len(context.manifest.encode()) < 1_000_000
    assert max(map(len, context.chunks.values())) <= 512 * 1024


@then("one more target and one more workspace change at most {count:d} of its chunks")
def step_few_chunks(context, count):
    context.document["services"]["service-7"]["targets"].append(
        target("service-7-target-99", 99_999, "d1")
    )
    context.document["workspace_groups"]["group-3"].append("workspace-0-new")
    _, after = split(json.dumps(context.document))
    assert 0 < len(after.keys() - context.chunks.keys()) <= count


@then("the declaration is refused if the store takes {size:d} bytes")
def step_limit(context, size):
    result = load_declaration(json.dumps(context.document), max_value_bytes=size)
    assert "the store takes" in str(result.unwrap_err())


@then("declaration entries that never end a range are cut at the chunk limit")
def step_cut(context):
    section = chunk_module.WORKSPACES
    mean = chunk_module.MEAN_ENTRIES[section]
    entries = []
    for number in range(12_000):
        name = f"{number:0128d}"
        if not chunk_module.ends_range("group", name, mean):
            entries.append((name, "group", name))
    batches = list(chunk_module.ranges(section, entries))
    assert [entry for batch in batches for entry in batch] == entries
    sizes = [len(chunk_module.encode_chunk(section, batch)) for batch in batches]
    assert len(batches) > 1 and max(sizes) <= chunk_module.MAX_CHUNK_BYTES


names = st.text("abcdefgh", min_size=1, max_size=3)


@st.composite
def documents(draw):
    """Draw a valid document; services only depend on smaller names."""
    document = {"failure_domains": {"d1": "r1"}, "services": {}, "routes": []}
    number = 0
    for name in sorted(draw(st.sets(names, max_size=6))):
        targets = []
        for _ in range(draw(st.integers(1, 4))):
            number += 1
            targets.append(target(f"t{number}", number))
        known = sorted(document["services"])
        depends_on = draw(st.sets(st.sampled_from(known))) if known else ()
        floor = draw(st.integers(0, 2 * len(targets)))
        document["services"][name] = service(
            targets, depends_on=list(depends_on), floor_slots=floor
        )
        document["routes"].append(route(f"r-{name}", f"/{name}", name))
    sets = st.sets(names, max_size=5).map(list)
    document["workspace_groups"] = draw(st.dictionaries(names, sets, max_size=4))
    return document


def load(document):
    return load_declaration(json.dumps(document)).unwrap()


@then("any declaration survives a split and a join")
def step_split_join(context):
    @repeatable
    @any_of(documents())
    def check(document):
        manifest, chunks = split(json.dumps(document))
        assert join(manifest, chunks) == dump(load(document))
        assert load_declaration(join(manifest, chunks)).unwrap() == load(document)

    check()


@then("any declaration assembled after another one equals its fresh assembly")
def step_reuse(context):
    @repeatable
    @any_of(documents(), documents())
    def check(first, second):
        assembler = Assembler()
        old_manifest, old_chunks = split(json.dumps(first))
        assembler.assemble(old_manifest, old_chunks)
        manifest, chunks = split(json.dumps(second))
        new_only = {key: chunks[key] for key in chunks.keys() - old_chunks.keys()}
        assert assembler.assemble(manifest, new_only) == load(second)

    check()


@then("any two declarations have no difference exactly if they are equal")
def step_difference(context):
    @repeatable
    @any_of(documents(), documents(), st.booleans())
    def check(first, second, same):
        before = load(first)
        after = load(copy.deepcopy(first) if same else second)
        assert (compare(before, after) == []) == (before == after)

    check()


@then("a declaration with a chunk that is {damage} cannot be joined")
def step_damage(context, damage):
    manifest, chunks = split(json.dumps(small_document()))
    digest = manifest.digests()[1]
    if damage == "missing":
        del chunks[digest]
    elif damage == "altered":
        chunks[digest] = chunks[digest].replace(b"0.99", b"0.98")
    else:
        body = b"not JSON"
        reference = chunk_module.ChunkReference(
            "services", chunk_module.chunk_digest(body)
        )
        manifest = chunk_module.Manifest(manifest.change, (reference,))
        chunks = {reference.digest: body}
    try:
        join(manifest, chunks)
    except ChunkError:
        return
    raise AssertionError("the damaged chunk was accepted")


@then("the declaration's cycle check agrees with a transitive closure")
def step_cycles(context):
    nodes = st.sampled_from("abcdef")

    @repeatable
    @any_of(st.dictionaries(nodes, st.lists(nodes, unique=True, max_size=3)))
    def check(graph):
        reachable = {name: set(graph[name]) & graph.keys() for name in graph}
        for middle in graph:
            for name in graph:
                if middle in reachable[name]:
                    reachable[name] |= reachable[middle]
        on_cycle = {name for name in graph if name in reachable[name]}
        cycles = find_cycles(graph)
        assert bool(cycles) == bool(on_cycle)
        for cycle in cycles:
            assert set(cycle) <= on_cycle
            for name, following in zip(cycle, cycle[1:] + cycle[:1], strict=True):
                assert following in graph[name]

    check()


def settings_document():
    return json.loads((EXAMPLES / "settings.json").read_text())


@then("settings with {path} set to {value} are refused at {reported}")
def step_settings_refused(context, path, value, reported):
    document = settings_document()
    set_path(document, path, json.loads(value))
    try:
        parse_settings(json.dumps(document))
    except SettingsError as error:
        assert error.path == reported, error
        return
    raise AssertionError("the settings were accepted")


@then("ranking in distinct domains agrees with a walk down the whole ranking")
def step_ranking(context):
    host_sets = st.lists(st.integers(0, 30), unique=True, max_size=20)

    @repeatable
    @any_of(st.text(max_size=5), host_sets, st.integers(1, 4))
    def check(key, numbers, count):
        hosts = [Host(f"h{number}", f"d{number % 5}") for number in numbers]
        by_id = {host.host_id: host for host in hosts}
        bucket = bucket_of(key)
        scored = sorted(((rank_score(bucket, one), one) for one in by_id), reverse=True)
        naive = []
        for _, host_id in scored:
            domains = {by_id[one].failure_domain for one in naive}
            if len(naive) < count and by_id[host_id].failure_domain not in domains:
                naive.append(host_id)
        assert rank_distinct_domains(key, hosts, count) == naive

    check()


@then("ranking by a table equals ranking each shard afresh after any changes")
def step_table(context):
    placed = st.dictionaries(st.integers(0, 12), st.sampled_from("abcd"), max_size=10)

    @repeatable
    @any_of(st.lists(placed, max_size=8))
    def check(changes):
        table = HolderRanking()
        known = set()
        for domains in changes:
            hosts = {Host(f"h{number}", one) for number, one in domains.items()}
            for host in known - hosts:
                table.remove(host)
            for host in hosts - known:
                table.add(host)
            known = hosts
            for number in range(20):
                fresh = rank_distinct_domains(f"k{number}", hosts, 3)
                assert table.first(f"k{number}", 3) == fresh

    check()


@then("ranking without one host keeps the order of the others")
def step_ranking_removal(context):
    host_ids = [f"h{number}" for number in range(50)]
    for number in range(50):
        before = rank(f"key-{number}", host_ids)
        after = rank(f"key-{number}", reversed(host_ids[1:]))
        assert after == [one for one in before if one != host_ids[0]]
    firsts = {rank(f"key-{number}", host_ids)[0] for number in range(500)}
    assert len(firsts) == 50
