"""Hooks of behave: scenarios and features own their processes through exit stacks."""

from contextlib import ExitStack

from features.support.processes import ProcessGroup


def before_feature(context, _feature):
    # Fleets that all scenarios of a feature use, by name; see promise_fleet.py.
    context.shared_fleets = {}
    context.shared_runs = {}
    context.feature_stack = ExitStack()


def after_feature(context, _feature):
    context.feature_stack.close()


def before_scenario(context, _scenario):
    context.stack = ExitStack()
    context.processes = ProcessGroup(context.stack)


def after_scenario(context, scenario):
    try:
        if scenario.status.has_failed():
            print_log_tails(context)
    finally:
        context.stack.close()


def print_log_tails(context):
    groups = [context.processes]
    for fleet in context.shared_fleets.values():
        groups.append(fleet.group)
    for group in groups:
        for process in group.started:
            # Programs that go on without an error output have nothing to tell.
            if process.is_running() and process.error_path.stat().st_size == 0:
                continue
            print(f"{process.name}: {process.log_tail()}")
