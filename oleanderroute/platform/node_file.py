"""Reads the settings file that the platform writes for a process."""

import os
from pathlib import Path

from ..errors import SettingsError
from ..host.model import HostSettings
from ..ids import FailureDomain, HostId, Region

NODE_FILE_VARIABLE = "OLEANDERROUTE_NODE_FILE"
MIN_LEASE_FIELD = "platform.ttlMinMs"
WRITES_FIELD = "platform.writesPerS"
LINK_FIELD = "limits.linkMbps"
MEMORY_FIELD = "limits.memoryMb"
DESCRIPTORS_FIELD = "limits.maxFds"
BYTES_PER_MB = 1024 * 1024


def settings_path():
    """Return the path of the settings file, which the environment names.

    Raises
    ------
    SettingsError
    """
    path = os.environ.get(NODE_FILE_VARIABLE)
    if not path:
        raise SettingsError(f"${NODE_FILE_VARIABLE}", "not set")
    return Path(path)


def load_host_settings(path):
    """Read and check the settings file.

    Raises
    ------
    SettingsError
    """
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(path), str(error)) from error
    return build_host_settings(parse_lines(text))


def parse_lines(text):
    """Parse lines of the form ``a.b=value`` into a dict."""
    fields = {}
    for line in text.splitlines():
        name, equals, value = line.strip().partition("=")
        if equals and not name.startswith("#"):
            fields[name.strip()] = value.strip()
    return fields


def build_host_settings(fields):
    """Build the settings of a host from the platform's fields."""
    bounds = parse_bounds(fields.get("bounds", ""))
    address, caller_port = parse_endpoint(fields, "listen.front")
    first_port, _, _ = required_field(fields, "internalPortRange").partition(",")
    return HostSettings(
        host_id=HostId(required_field(fields, "nodeName")),
        address=address,
        failure_domain=FailureDomain(required_field(fields, "zone")),
        region=Region(required_field(fields, "region")),
        caller_port=caller_port,
        readiness_port=parse_endpoint(fields, "listen.ready")[1],
        control_port=parse_endpoint(fields, "listen.control")[1],
        gossip_port=int(parse_number(first_port, "internalPortRange")),
        seeds=parse_seed_addresses(fields.get("seeds", "")),
        store_address=required_field(fields, "platform.address"),
        min_lease_s=parse_number(fields.get(MIN_LEASE_FIELD, "1000"), MIN_LEASE_FIELD)
        / 1000,
        # Defaults as documented by the platform.
        retry_ratio=bounds.get("budgetRatio", 0.2),
        retry_allowance=bounds.get("retrySlack", 0.0),
        retry_window_s=bounds.get("budgetWindowS", 10.0),
        stop_grace_s=bounds.get("graceS", 6.0),
        floor_share=bounds.get("floorShare", 0.7),
        link_mbps=parse_number(fields.get(LINK_FIELD) or "0", LINK_FIELD),
        memory_limit_bytes=int(
            parse_number(fields.get(MEMORY_FIELD) or "0", MEMORY_FIELD) * BYTES_PER_MB
        ),
        descriptor_limit=int(
            parse_number(fields.get(DESCRIPTORS_FIELD) or "0", DESCRIPTORS_FIELD)
        ),
        rate_limit_window_s=bounds.get("quotaWindowS", 5.0),
        store_writes_per_s=parse_number(
            fields.get(WRITES_FIELD) or "400", WRITES_FIELD
        ),
    )


def required_field(fields, name):
    """Return the text of a required field."""
    value = fields.get(name)
    if not value:
        raise SettingsError(name, "missing")
    return value


def parse_number(text, name):
    """Return the number in ``text``, the value of the field ``name``."""
    try:
        return float(text)
    except ValueError as error:
        raise SettingsError(name, f"not a number: {text!r}") from error


def parse_endpoint(fields, name):
    """Return the address and the port of a listener."""
    address, colon, port = required_field(fields, name).rpartition(":")
    if not colon or not port.isdecimal():
        raise SettingsError(name, "not an address with a port")
    return address, int(port)


def parse_seed_addresses(text):
    """Return the valid ``address:port`` items of a comma-separated list."""
    found = []
    for part in text.split(","):
        address, colon, port = part.strip().rpartition(":")
        if colon and port.isdecimal():
            found.append((address, int(port)))
    return tuple(found)


def parse_bounds(text):
    """Return the numeric values of comma-separated ``name=value`` pairs."""
    found = {}
    for part in text.split(","):
        name, _, value = part.partition("=")
        try:
            found[name.strip()] = float(value)
        except ValueError:
            continue
    return found
