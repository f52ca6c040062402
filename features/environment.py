"""Hooks of behave: each scenario owns its processes through an exit stack."""

from contextlib import ExitStack

from features.support.processes import ProcessGroup


def before_scenario(context, _scenario):
    context.stack = ExitStack()
    context.processes = ProcessGroup(context.stack)


def after_scenario(context, scenario):
    try:
        if scenario.status.has_failed():
            for tail in context.processes.log_tails():
                print(tail)
    finally:
        context.stack.close()
