"""A fleet on the simulated platform of the users: real processes on loopback."""

import base64
import json
import os
import socket
import time

from features.support.http import call
from features.support.processes import PORTS, Process

HOST = "shop.example"
SETTLE_TIMEOUT_S = 15.0
ANSWER_TIMEOUT_S = 10.0


def route(name, kind, prefix, service="pedidos", **others):
    spec = {
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 1500,
        "targetLatencyMs": 400,
        "priority": 1,
        "maxAttempts": 2,
        "service": service,
        **others,
    }
    return {"resourceType": "routes", "metadata": {"name": name}, "spec": spec}


def workspace(name, *keys, **others):
    spec = {"apiKeys": list(keys), **others}
    return {"resourceType": "tenants", "metadata": {"name": name}, "spec": spec}


def configuration(version, routes, idle_ms=15000, max_body_bytes=1_000_000):
    services = []
    for name in ("pedidos", "disenos"):
        spec = {"healthPath": "/health", "maxConnections": 330}
        services.append(
            {"resourceType": "services", "metadata": {"name": name}, "spec": spec}
        )
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": max_body_bytes,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": idle_ms,
    }
    bounds = {"resourceType": "limits", "metadata": {}, "spec": limits}
    return {"version": f"{version:08x}", "resources": [*routes, *services, bounds]}


ROUTES = (route("r-get", "safe", "/look/"), route("r-post", "unsafe", "/order/"))


class PlatformFleet:
    """A store, targets and hosts.

    Parameters
    ----------
    group : ProcessGroup
    """

    def __init__(self, group):
        self.group = group
        self.store_port = PORTS.next()
        self.store = self.run(
            "metastore", ["standins.metastore", "--port", str(self.store_port)]
        )
        self.targets = {}
        self.hosts = {}
        self.ready_ports = {}

    def run(self, name, arguments, wait=True):
        process = Process(name, arguments, self.group.directory)
        self.group.stack.callback(process.clean_up)
        self.group.started.append(process)
        process.start()
        return process.wait_ready() if wait else process

    def put(self, key, document):
        if not isinstance(document, bytes):
            document = json.dumps(document).encode()
        value = base64.b64encode(document).decode()
        body = {"puts": [{"key": key, "value": value, "lease": 0}]}
        assert call(self.store_port, "POST", "/kv-txn", body).status == 200

    def remove(self, key):
        call(self.store_port, "POST", "/kv-txn", {"remove": [key]})

    def configure(self, version, routes=ROUTES, **others):
        self.put("op/config", configuration(version, list(routes), **others))

    def store_fault(self, **fault):
        call(self.store_port, "POST", "/control", fault)

    def store_calls(self):
        return call(self.store_port, "GET", "/control").json()["calls"]

    def start_target(self, target_id, service="pedidos", zone="mvd-a"):
        store = f"127.0.0.1:{self.store_port}"
        arguments = ["standins.platform_target", "--store", store, "--id", target_id]
        arguments += ["--service", service, "--zone", zone]
        self.targets[target_id] = self.run(target_id, arguments)

    def set_mode(self, target_id, mode):
        port = self.targets[target_id].port
        call(port, "POST", "/control/mode", mode.encode())

    def runs(self):
        """Return the attempt ids that targets ran, with the target of each."""
        found = []
        for target_id, process in self.targets.items():
            for row in call(process.port, "GET", "/control/runs").json():
                found.append((row[0], target_id))
        return found

    def intended_targets(self):
        """Return the intended target of each run, and the target that ran it."""
        found = []
        for target_id, process in self.targets.items():
            for row in call(process.port, "GET", "/control/runs").json():
                found.append((row[4], target_id))
        return found

    def turned_away(self):
        """Return the times of the requests that each target turned away."""
        found = {}
        for target_id, process in self.targets.items():
            rows = call(process.port, "GET", "/control/turned-away").json()
            found[target_id] = rows
        return found

    def cancelled(self):
        """Return attempt id and time of the runs whose connection was closed."""
        found = []
        for process in self.targets.values():
            found += call(process.port, "GET", "/control/cancelled").json()
        return found

    def start_host(
        self, name, number, zone="mvd-a", wait=True, gossip_port=None, settings=()
    ):
        """Start a host on the loopback address 127.0.0.``number``.

        ``settings`` are more lines of its settings file.
        """
        # The gossip port is the same on all hosts, as on the platform.
        gossip_port = gossip_port or self.store_port
        address = f"127.0.0.{number}"
        ports = [PORTS.next() for _ in range(4)]
        path = self.group.directory / f"{name}.conf"
        lines = [
            f"nodeName={name}",
            f"zone={zone}",
            "region=montevideo",
            f"listen.front={address}:{ports[0]}",
            f"listen.ready={address}:{ports[1]}",
            f"listen.control={address}:{ports[2]}",
            f"internalPortRange={gossip_port},{gossip_port}",
            f"seeds={','.join(self.seeds())}",
            f"platform.address=127.0.0.1:{self.store_port}",
            "platform.ttlMinMs=1000",
            "bounds=graceS=6,budgetRatio=0.2,retrySlack=58,budgetWindowS=10",
            *settings,
        ]
        path.write_text("\n".join(lines) + "\n")
        os.environ["OLEANDERROUTE_NODE_FILE"] = str(path)
        process = self.run(name, ["oleanderroute.host.main"], wait=False)
        process.address = address
        process.caller_port = ports[0]
        process.control = f"{address}:{ports[2]}"
        process.ready_port = ports[1]
        self.hosts[name] = process
        if wait:
            self.wait_until(lambda: self.is_ready(name), f"{name} is ready")
        return process

    def seeds(self):
        return [process.control for process in self.hosts.values()]

    def is_ready(self, name):
        process = self.hosts[name]
        try:
            answer = self.ask(process.address, process.ready_port, "GET", "/readiness")
        except OSError:
            return False
        return answer[0] == 200

    def heads(self):
        """Return the headers of each run at all targets."""
        found = []
        for process in self.targets.values():
            found += call(process.port, "GET", "/control/heads").json()
        return found

    def send(
        self, name, method, path, attempt_id, body=b"", limit_ms=1500, headers=None
    ):
        """Send a request to a host; return status, headers and body."""
        process = self.hosts[name]
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt_id,
            "X-Deadline-Remaining": str(limit_ms),
            **(headers or {}),
        }
        return self.ask(
            process.address, process.caller_port, method, path, headers, body
        )

    def ask(self, address, port, method, path, headers=None, body=b""):
        lines = [f"{method} {path} HTTP/1.1"]
        for header in {"Host": HOST, "Connection": "close", **(headers or {})}.items():
            lines.append("{}: {}".format(*header))
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        with socket.create_connection((address, port), 10.0) as connection:
            connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            received = bytearray()
            ends_at = time.monotonic() + ANSWER_TIMEOUT_S
            while data := connection.recv(65536):
                received += data
                assert time.monotonic() < ends_at, "the answer does not end"
        return parse_answer(bytes(received))

    def log(self, name, number):
        """Return the log records of a host that have an event number."""
        found = []
        for line in self.hosts[name].output_lines():
            if isinstance(line, dict) and line.get("event") == number:
                found.append(line)
        return found

    def wait_until(self, condition, description, limit_s=SETTLE_TIMEOUT_S):
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(0.05)
        raise AssertionError(f"not within {limit_s} s: {description}")


def parse_answer(received):
    """Return status, headers and body of an answer."""
    head, _, body = received.partition(b"\r\n\r\n")
    status_line, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return int(status_line.split(" ")[1]), headers, body
