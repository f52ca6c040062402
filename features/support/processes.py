"""Real processes for tests: started on loopback, and always ended by their id."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
LOOPBACK = "127.0.0.1"
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 40.0
POLL_S = 0.01
# Below the range from which the kernel takes the ports of outgoing connections,
# so that a free port stays free until the program opens it.
FIRST_PORT = 20_000
PORT_COUNT = 12_000
LOG_TAIL_BYTES = 4_000


class ProcessFailed(Exception):
    """A program did not become ready, or did not end in time."""


class PortAllocator:
    """Hands out free loopback ports; test runs begin at different ones."""

    def __init__(self):
        # Runs side by side take blocks of ports that are far apart.
        self.offset = os.getpid() * 997 % PORT_COUNT

    def next(self):
        """Return a port that is free for TCP."""
        for _ in range(PORT_COUNT):
            self.offset = (self.offset + 1) % PORT_COUNT
            with socket.socket() as probe:
                try:
                    probe.bind((LOOPBACK, FIRST_PORT + self.offset))
                except OSError:
                    continue
            return FIRST_PORT + self.offset
        raise ProcessFailed("no free loopback port")


PORTS = PortAllocator()


class Process:
    """A running program of this repository.

    Parameters
    ----------
    name : str
        Names the log files.
    arguments : list of str
        What follows ``python -m``.
    directory : Path
        Where the output goes.
    """

    def __init__(self, name, arguments, directory):
        self.name = name
        self.arguments = arguments
        self.output_path = directory / f"{name}.out"
        self.error_path = directory / f"{name}.err"
        self.ready = {}
        self.popen = None

    @property
    def pid(self):
        """Process id of the latest start."""
        return self.popen.pid

    @property
    def port(self):
        """Main port that the program told when it became ready."""
        return self.ready["port"]

    @property
    def control_port(self):
        """Control port, for programs that have one."""
        return self.ready["control_port"]

    def start(self):
        """Start the program without waiting for it."""
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        self.ready = {}
        with (
            self.output_path.open("wb") as output,
            self.error_path.open("ab") as errors,
        ):
            self.popen = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=errors,
            )

    def wait_ready(self, timeout_s=READY_TIMEOUT_S):
        """Wait for the JSON line with ``"ready": true``."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            for line in self.output_lines():
                if isinstance(line, dict) and line.get("ready"):
                    self.ready = line
                    return self
            if self.popen.poll() is not None:
                break
            time.sleep(POLL_S)
        raise ProcessFailed(f"{self.name} is not ready; {self.log_tail()}")

    def output_lines(self):
        """Return the whole JSON lines of the output; others are left out."""
        values = []
        for line in self.output_path.read_bytes().split(b"\n")[:-1]:
            try:
                values.append(json.loads(line))
            except ValueError:
                continue
        return values

    def log_tail(self):
        """Return the end of the error output."""
        text = self.error_path.read_bytes()[-LOG_TAIL_BYTES:].decode(errors="replace")
        return f"exit code {self.popen.poll()}, error output:\n{text}"

    def is_running(self):
        """Tell whether the process exists."""
        return self.popen is not None and self.popen.poll() is None

    def pause(self):
        """Stop the process with SIGSTOP."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self):
        """Let a paused process go on."""
        os.kill(self.pid, signal.SIGCONT)

    def terminate(self):
        """Send SIGTERM without waiting."""
        os.kill(self.pid, signal.SIGTERM)

    def kill(self):
        """End the process with SIGKILL."""
        self.popen.kill()
        self.popen.wait()

    def stop(self, timeout_s=STOP_TIMEOUT_S):
        """End the process with SIGTERM and return its exit code."""
        if self.is_running():
            self.terminate()
        return self.wait_end(timeout_s)

    def wait_end(self, timeout_s=STOP_TIMEOUT_S):
        """Wait for the end of the process and return its exit code."""
        try:
            return self.popen.wait(timeout_s)
        except subprocess.TimeoutExpired as error:
            raise ProcessFailed(f"{self.name} goes on; {self.log_tail()}") from error

    def restart(self):
        """Start the program again with the same arguments and wait for it."""
        self.start()
        return self.wait_ready()

    def clean_up(self):
        """End the process, whatever state it is in."""
        if self.is_running():
            self.popen.kill()
        if self.popen is not None:
            self.popen.wait()


class ProcessGroup:
    """Starts programs that end with an exit stack.

    Parameters
    ----------
    stack : contextlib.ExitStack
    """

    def __init__(self, stack):
        self.stack = stack
        self.started = []
        self.directory_path = None

    @property
    def directory(self):
        """Directory for files of the scenario, removed at its end."""
        if self.directory_path is None:
            name = self.stack.enter_context(tempfile.TemporaryDirectory())
            self.directory_path = Path(name)
        return self.directory_path

    def start(self, module, *arguments, name=None, wait=True):
        """Start ``python -m MODULE ARGUMENTS...`` and wait until it is ready.

        Parameters
        ----------
        module : str
        *arguments : str or int
        name : str or None
            Name of the log files; the default is the module and a number.
        wait : bool
            Several programs start faster if all are started before the first
            ``wait_ready``.

        Returns
        -------
        Process
        """
        name = name or f"{module}-{len(self.started)}"
        texts = [str(argument) for argument in arguments]
        process = Process(name, [module, *texts], self.directory)
        self.started.append(process)
        self.stack.callback(process.clean_up)
        process.start()
        return process.wait_ready() if wait else process

    def platform(self, *options, **keywords):
        """Start the platform stand-in on a free port."""
        arguments = ["--port", PORTS.next(), *options]
        return self.start("standins.platform", *arguments, **keywords)

    def target(self, *options, **keywords):
        """Start a target stand-in on two free ports."""
        arguments = ["--port", PORTS.next(), "--control-port", PORTS.next(), *options]
        return self.start("standins.target", *arguments, **keywords)

    def naive(self, targets, *options, **keywords):
        """Start the baseline relay.

        Parameters
        ----------
        targets : list of dict
            ``address``, ``port`` and, with routes, ``service`` of each target.
        """
        path = self.write_json("naive-targets", targets)
        arguments = ["--port", PORTS.next(), "--targets", path, *options]
        return self.start("standins.naive", *arguments, **keywords)

    def load(self, plan, **keywords):
        """Start the load command; ``load_report`` waits for its end."""
        path = self.write_json("plan", plan)
        return self.start("standins.load", path, **keywords)

    def daemon(self, settings, **keywords):
        """Start the daemon with settings given as a JSON value."""
        path = self.write_json("settings", settings)
        return self.start("oleanderroute.daemon", "--settings", path, **keywords)

    def write_json(self, stem, value):
        """Write a JSON file and return its path."""
        path = self.directory / f"{stem}-{len(self.started)}.json"
        path.write_text(json.dumps(value))
        return path

    def log_tails(self):
        """Return the ends of all error outputs, for a failed scenario."""
        return [f"{process.name}: {process.log_tail()}" for process in self.started]


def load_report(process):
    """Wait for the end of a load command and return its report."""
    code = process.wait_end()
    if code != 0:
        raise ProcessFailed(f"the load command failed; {process.log_tail()}")
    return process.output_lines()[-1]


def eventually(check, timeout_s=20.0, message="the condition never held"):
    """Poll ``check`` until it returns a true value, and return that value."""
    deadline = time.monotonic() + timeout_s
    while True:
        value = check()
        if value:
            return value
        if time.monotonic() >= deadline:
            raise AssertionError(message)
        time.sleep(POLL_S)
