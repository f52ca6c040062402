"""Cycles among the dependencies and among the fallbacks of services."""

from .problems import problem_at


def check_cycles(checked):
    """Find each cycle of dependencies and of fallbacks.

    Parameters
    ----------
    checked : CheckedDocument
    """
    dependencies = {}
    fallbacks = {}
    for name, service in checked.services.items():
        dependencies[name] = service.get("depends_on", [])
        fallback = service.get("fallback")
        fallbacks[name] = [] if fallback is None else [fallback]
    problems = []
    for key, graph in (("depends_on", dependencies), ("fallback", fallbacks)):
        for cycle in find_cycles(graph):
            reason = "cycle " + " -> ".join([*cycle, cycle[0]])
            problems.append(problem_at(("services", cycle[0], key), reason))
    return problems


def find_cycles(graph):
    """Return one cycle for each back edge of a depth-first walk.

    Parameters
    ----------
    graph : dict
        Name to the list of names it points at. Unknown names are ignored.

    Returns
    -------
    cycles : list of list of str
        Each starts with its smallest name. The result is empty exactly if the
        graph has no cycle.
    """
    cycles = []
    finished = set()
    for start in sorted(graph):
        if start in finished:
            continue
        cycles += walk_from(start, graph, finished)
    return cycles


def walk_from(start, graph, finished):
    """Walk depth first with an explicit stack; chains may be hundreds long."""
    cycles = []
    path = [start]
    on_path = {start}
    pending = [iter(graph[start])]
    while pending:
        name = next(pending[-1], None)
        if name is None:
            pending.pop()
            done = path.pop()
            on_path.discard(done)
            finished.add(done)
            continue
        if name in on_path:
            cycles.append(rotate_to_smallest(path[path.index(name) :]))
            continue
        if name in finished or name not in graph:
            continue
        path.append(name)
        on_path.add(name)
        pending.append(iter(graph[name]))
    return cycles


def rotate_to_smallest(cycle):
    """Return ``cycle`` starting with its smallest name."""
    start = cycle.index(min(cycle))
    return cycle[start:] + cycle[:start]
