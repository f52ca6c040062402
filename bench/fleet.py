"""A small fleet of real processes on loopback, for the demo, tests and benchmarks."""

import json
import subprocess
import sys
import time
import urllib.request
from dataclasses import dataclass, field

from features.support.processes import LOOPBACK, PORTS, ROOT, ProcessGroup

REGION = "local"
FLEET_NAME = "local"
READY_TIMEOUT_S = 30.0
POLL_S = 0.05
APPLY_TIMEOUT_S = 30.0
DRAIN_NOTICE_S = 0.2


@dataclass(slots=True)
class ServicePlan:
    """How many targets a service of the local fleet has, and of what kind.

    Attributes
    ----------
    options : list of str
        Extra command-line options of the target stand-ins.
    declared : dict
        Fields of the service in the declaration that differ from the defaults.
    """

    targets: int
    slots: int = 2
    floor_slots: int = 2
    options: list = field(default_factory=list)
    declared: dict = field(default_factory=dict)


@dataclass(slots=True)
class HostPlan:
    """One daemon and its ports."""

    host_id: str
    failure_domain: str
    caller_port: int
    peer_port: int
    operator_port: int


class LocalFleet:
    """A platform stand-in, targets, and daemons.

    Parameters
    ----------
    stack : contextlib.ExitStack
        Owns all processes.
    services : dict
        Service name to ``ServicePlan``.
    routes : list of dict
        Routes of the declaration.
    hosts : int
        Number of daemons, spread over the failure domains.
    failure_domains : tuple of str
    """

    def __init__(
        self, stack, services, routes, hosts=3, failure_domains=("a", "b", "c")
    ):
        self.group = ProcessGroup(stack)
        self.services = services
        self.routes = routes
        self.failure_domains = failure_domains
        self.hosts = []
        for index in range(hosts):
            domain = failure_domains[index % len(failure_domains)]
            self.hosts.append(self.plan_host(f"host-{index + 1}", domain))
        self.platform = None
        self.targets = {}
        self.target_domains = {}
        self.daemons = {}
        self.revision = 0
        self.leaving_targets = set()
        self.listed_hosts = None

    def plan_host(self, host_id, failure_domain):
        """Reserve the ports of one daemon."""
        return HostPlan(
            host_id, failure_domain, PORTS.next(), PORTS.next(), PORTS.next()
        )

    # Start

    def start(self):
        """Start all processes, apply the declaration and wait until it serves."""
        self.platform = self.group.platform(name="platform")
        self.start_targets()
        self.publish_hosts()
        self.apply(self.declaration(), "first declaration")
        for host in self.hosts:
            self.start_daemon(host)
        self.wait_ready()

    def start_targets(self):
        """Start the targets of all services side by side."""
        starting = []
        for name, plan in self.services.items():
            for index in range(plan.targets):
                target_id = f"{name}-{index + 1:02d}"
                domain = self.failure_domains[index % len(self.failure_domains)]
                self.target_domains[target_id] = domain
                process = self.group.target(
                    "--target-id",
                    target_id,
                    "--slots",
                    plan.slots,
                    *self.target_options(target_id, plan),
                    name=target_id,
                    wait=False,
                )
                self.targets[target_id] = process
                starting.append(process)
        for process in starting:
            process.wait_ready()

    def target_options(self, target_id, plan):
        """Return the extra command-line options of one target."""
        return plan.options

    def start_daemon(self, host, **overrides):
        """Start one daemon without waiting for it."""
        settings = self.settings(host)
        settings.update(overrides)
        self.daemons[host.host_id] = self.group.daemon(
            settings, name=host.host_id, wait=False
        )

    def settings(self, host):
        """Return the settings document of one daemon."""
        return {
            "fleet": FLEET_NAME,
            "host_id": host.host_id,
            "failure_domain": host.failure_domain,
            "region": REGION,
            "caller": {"address": LOOPBACK, "port": host.caller_port},
            "peer": {
                "address": LOOPBACK,
                "port": host.peer_port,
                "allowed_networks": ["127.0.0.0/8"],
            },
            "operator": {
                "address": LOOPBACK,
                "port": host.operator_port,
                "allowed_networks": ["127.0.0.0/8"],
            },
            "platform": {"url": self.platform_url},
            "peers_seed": self.seeds(host),
            "drain": {"notice_s": DRAIN_NOTICE_S, "limit_s": 30},
            "log": {"path": str(self.group.directory / f"{host.host_id}.log")},
            "test_switches": True,
        }

    def seeds(self, host):
        """Return the peer addresses that a daemon may ask without the platform."""
        seeds = []
        for other in self.hosts:
            if other.host_id != host.host_id:
                seeds.append(f"{LOOPBACK}:{other.peer_port}")
        return seeds[:3]

    def wait_ready(self):
        """Wait until every daemon serves, and votes on claims."""
        for host in self.hosts:
            self.daemons[host.host_id].wait_ready()
        self.wait_status(
            lambda status: status["ready"] and status["votes_on_claims"],
            "not every daemon is ready",
        )

    def wait_status(self, condition, message, timeout_s=READY_TIMEOUT_S, hosts=None):
        """Poll the status of daemons until all fulfil ``condition``.

        Raises
        ------
        AssertionError
            After ``timeout_s`` seconds.
        """
        deadline = time.monotonic() + timeout_s
        waiting = list(hosts or self.hosts)
        while waiting:
            status = self.status(waiting[0])
            if status is not None and condition(status):
                waiting.pop(0)
                continue
            if time.monotonic() > deadline:
                raise AssertionError(f"{message}: {waiting[0].host_id}: {status}")
            time.sleep(POLL_S)

    # Platform

    @property
    def platform_url(self):
        """Base URL of the platform stand-in."""
        return f"http://{LOOPBACK}:{self.platform.port}"

    def publish_hosts(self, hosts=None):
        """Set the platform's host list."""
        if hosts is not None:
            self.listed_hosts = hosts
        listed = self.hosts if self.listed_hosts is None else self.listed_hosts
        document = {"hosts": [], "targets": []}
        for host in listed:
            document["hosts"].append(
                {
                    "id": host.host_id,
                    "address": LOOPBACK,
                    "caller_port": host.caller_port,
                    "peer_port": host.peer_port,
                    "operator_port": host.operator_port,
                    "failure_domain": host.failure_domain,
                    "region": REGION,
                    "state": "live",
                }
            )
        for target_id, process in self.targets.items():
            state = "leaving" if target_id in self.leaving_targets else "live"
            document["targets"].append(
                {
                    "id": target_id,
                    "service": target_id.rpartition("-")[0],
                    "address": LOOPBACK,
                    "port": process.port,
                    "failure_domain": self.target_domains[target_id],
                    "state": state,
                }
            )
        post_json(f"{self.platform_url}/control/hosts", document)

    def set_platform_faults(self, **faults):
        """Switch the platform's fault modes."""
        post_json(f"{self.platform_url}/control/faults", faults)

    # Declaration

    def declaration(self):
        """Return the declaration document of this fleet."""
        services = {}
        for name, plan in self.services.items():
            services[name] = {
                "region": REGION,
                "slots_per_target": plan.slots,
                "connections_per_target": 330,
                "floor_slots": plan.floor_slots,
                "long_share": 0.5,
                "ramp_s": 2,
                "objective": {"success_share": 0.999, "latency_ms": 250},
                "targets": self.declared_targets(name),
                **plan.declared,
            }
        return {
            "failure_domains": {domain: REGION for domain in self.failure_domains},
            "services": services,
            "routes": self.routes,
        }

    def declared_targets(self, service):
        """Return the targets of one service for the declaration."""
        targets = []
        for target_id, process in self.targets.items():
            if target_id.rpartition("-")[0] != service:
                continue
            targets.append(
                {
                    "id": target_id,
                    "address": LOOPBACK,
                    "port": process.port,
                    "failure_domain": self.target_domains[target_id],
                }
            )
        return targets

    def apply(self, declaration, message):
        """Apply a declaration with the operators' tool."""
        path = self.group.write_json(f"declaration-{self.revision + 1}", declaration)
        result = self.oleanderctl(
            "apply", path, "--base", self.revision, "--message", message
        )
        if result.returncode != 0:
            raise AssertionError(result.stdout + result.stderr)
        self.revision += 1

    def oleanderctl(self, *arguments):
        """Run the operators' tool and return the completed process."""
        command = [sys.executable, "-m", "oleanderroute.cli"]
        command += [str(argument) for argument in arguments]
        command += ["--store", self.platform_url] if arguments[0] == "apply" else []
        return subprocess.run(
            command,
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=APPLY_TIMEOUT_S,
            check=False,
        )

    # Hosts and targets

    def url(self, index=0):
        """Return the base URL for callers of one daemon."""
        return f"http://{LOOPBACK}:{self.hosts[index].caller_port}"

    def urls(self):
        """Return the base URLs for callers of all daemons."""
        return [self.url(index) for index in range(len(self.hosts))]

    def operator_url(self, host):
        """Return the base URL of a daemon's operator port."""
        return f"http://{LOOPBACK}:{host.operator_port}"

    def status(self, host):
        """Return the status of one daemon, or None if it does not answer."""
        return get_json(f"{self.operator_url(host)}/status")

    def explain(self, host, service):
        """Return what one daemon says of the targets of a service."""
        return get_json(f"{self.operator_url(host)}/explain?service={service}")

    def cut(self, host, blocked_out=(), blocked_in=()):
        """Drop a daemon's messages to and from some failure domains."""
        switches = {"blocked_out": list(blocked_out), "blocked_in": list(blocked_in)}
        post_json(f"{self.operator_url(host)}/switches", switches)

    def control_target(self, target_id, **switches):
        """Set the gray modes of a target."""
        port = self.targets[target_id].control_port
        post_json(f"http://{LOOPBACK}:{port}/control", switches)

    def ledger(self, target_id):
        """Return the runs that a target recorded."""
        port = self.targets[target_id].control_port
        return get_json(f"http://{LOOPBACK}:{port}/ledger")

    def ledger_urls(self):
        """Return the control URLs of all targets."""
        return [
            f"http://{LOOPBACK}:{process.control_port}"
            for process in self.targets.values()
        ]


def post_json(url, document):
    """Send a JSON document and return the answer's."""
    request = urllib.request.Request(
        url,
        data=json.dumps(document).encode(),
        headers={"Content-Type": "application/json"},
        method="POST",
    )
    with urllib.request.urlopen(request, timeout=10) as response:
        return json.loads(response.read() or b"null")


def get_json(url):
    """Return a JSON document, or None if the server does not answer."""
    try:
        with urllib.request.urlopen(url, timeout=5) as response:
            return json.loads(response.read())
    except (OSError, ValueError):
        return None
