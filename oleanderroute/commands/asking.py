"""Finds the hosts of a fleet and asks them on their operator ports."""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass

import aiohttp
import click

from ..clock import SystemClock
from ..errors import StoreError
from ..metrics import Metrics
from ..platform.hostlist import HostListClient
from ..platform.store import StoreClient
from .output import CommandFailed, ExitCode

DEFAULT_TIMEOUT_S = 5.0
# Hosts asked at once; the time limit of a host begins when its turn comes.
PARALLEL_HOSTS = 64

hosts_option = click.option(
    "--host",
    "hosts",
    multiple=True,
    envvar="OLEANDER_HOSTS",
    metavar="ADDRESS:PORT",
    help="Operator port of a host; repeatable. Also OLEANDER_HOSTS, by spaces.",
)
host_list_option = click.option(
    "--store",
    "store_url",
    envvar="OLEANDER_STORE",
    metavar="URL",
    help="Without --host, ask all hosts on the platform's list; also OLEANDER_STORE.",
)
timeout_option = click.option(
    "--timeout-s",
    type=click.FloatRange(min=0, min_open=True),
    default=DEFAULT_TIMEOUT_S,
    show_default=True,
    help="Seconds to wait for each host.",
)


@dataclass(frozen=True, slots=True)
class HostAddress:
    """Where to ask a host.

    Attributes
    ----------
    address : str
        ``ADDRESS:PORT`` of its operator port.
    host_id : str
        Empty when only the address is known.
    """

    address: str
    host_id: str = ""


@dataclass(frozen=True, slots=True)
class HostAnswer:
    """What one host answered, or why it did not.

    Attributes
    ----------
    document : object or None
        Its JSON document.
    error : str or None
    """

    host: str
    document: object = None
    error: str | None = None
    host_id: str = ""


async def find_hosts(hosts, store_url):
    """Return the hosts to ask: those given, or all on the platform's list.

    Parameters
    ----------
    hosts : sequence of str
    store_url : str or None

    Returns
    -------
    list of HostAddress

    Raises
    ------
    click.UsageError
        If neither is given.
    CommandFailed
        If the platform's list can't be read.
    """
    if hosts:
        return [HostAddress(host) for host in hosts]
    if store_url is None:
        raise click.UsageError("give --host or --store")
    async with AsyncExitStack() as stack:
        store = StoreClient(store_url.rstrip("/"), SystemClock(), Metrics())
        stack.push_async_callback(store.close)
        try:
            host_list = await HostListClient(store).fetch(0)
        except StoreError as error:
            message = f"no host list from {store_url}: {error}"
            raise CommandFailed(message, ExitCode.UNREACHABLE) from error
    if host_list is None or not host_list.hosts:
        message = f"the host list of {store_url} is empty"
        raise CommandFailed(message, ExitCode.UNREACHABLE)
    return [host_address(entry) for entry in host_list.hosts]


def host_address(entry):
    """Return where to ask a host of the platform's list."""
    address = f"[{entry.address}]" if ":" in entry.address else entry.address
    return HostAddress(f"{address}:{entry.operator_port}", entry.host_id)


async def ask_hosts(addresses, path, query, timeout_s):
    """Ask all hosts, many at once.

    Parameters
    ----------
    addresses : list of HostAddress

    Returns
    -------
    answers : list of HostAnswer
        In the order of ``addresses``.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    limiter = asyncio.Semaphore(PARALLEL_HOSTS)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        calls = []
        for address in addresses:
            calls.append(ask_host(session, limiter, address, path, query))
        return await asyncio.gather(*calls)


async def ask_host(session, limiter, address, path, query):
    """Ask one host and return its ``HostAnswer``."""
    host = address.address
    try:
        async with limiter, session.get(f"http://{host}{path}", params=query) as reply:
            if reply.status != 200:
                error = f"status {reply.status}"
                return HostAnswer(host, error=error, host_id=address.host_id)
            document = await reply.json(content_type=None)
            return HostAnswer(host, document=document, host_id=address.host_id)
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
        text = f"{type(error).__name__} {error}".strip()
        return HostAnswer(host, error=text, host_id=address.host_id)


async def find_and_ask(hosts, store_url, path, query, timeout_s):
    """Find the hosts and return their answers."""
    addresses = await find_hosts(hosts, store_url)
    return await ask_hosts(addresses, path, query, timeout_s)


def fail_for_silent(silent):
    """End the command with 3 if any host did not answer.

    Parameters
    ----------
    silent : list of str
        Names of these hosts.

    Raises
    ------
    CommandFailed
    """
    if silent:
        message = "no answer from " + ", ".join(silent)
        raise CommandFailed(message, ExitCode.UNREACHABLE)
