"""What all stand-ins share: the ready line and the stop on a signal."""

import asyncio
import json
import os
import signal


def print_ready(program, address, port, **others):
    """Print the JSON line that tells a supervisor that the ports are open.

    Parameters
    ----------
    program : str
    address : str
        IP address of the listening socket.
    port : int
    **others : int or str
        Further fields, for example ``control_port``.
    """
    fields = {
        "ready": True,
        "program": program,
        "pid": os.getpid(),
        "address": address,
        "port": port,
        **others,
    }
    print(json.dumps(fields), flush=True)


async def wait_for_stop():
    """Return once the process has received SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    await stop.wait()
