"""Settings of the daemon, read once at its start."""

import json
from dataclasses import dataclass
from importlib.resources import files
from ipaddress import ip_address, ip_network
from pathlib import Path

from jsonschema import Draft202012Validator

from .declaration.problems import json_path, shape_reason
from .errors import SettingsError
from .ids import FailureDomain, HostId, Region

DEFAULT_MAX_HEADER_BYTES = 32 * 1024
DEFAULT_MAX_CONNECTIONS = 10_000
DEFAULT_HEADER_TIMEOUT_S = 10.0
DEFAULT_BODY_IDLE_TIMEOUT_S = 30.0
# The platform's balancer needs this long to stop sending connections.
DEFAULT_DRAIN_NOTICE_S = 5.0
# An upload that has started is given this long to end before a planned stop.
DEFAULT_DRAIN_LIMIT_S = 900.0
MAX_PORT = 65535
ANY_NETWORK = ("0.0.0.0/0", "::/0")

SCHEMA = json.loads(files(__package__).joinpath("settings_schema.json").read_text())
VALIDATOR = Draft202012Validator(SCHEMA)


@dataclass(frozen=True, slots=True)
class CallerLimitSettings:
    """What one caller may take up.

    Attributes
    ----------
    max_header_bytes : int
        Request line and headers together.
    max_connections : int
        Connections of all callers together.
    header_timeout_s : float
        From the first byte of a request to the end of its headers.
    body_idle_timeout_s : float
        Between two pieces of a body.
    """

    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    body_idle_timeout_s: float = DEFAULT_BODY_IDLE_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class CallerPortSettings:
    """Where callers connect. Port 0 takes any free port."""

    address: str
    port: int
    networks: tuple[str, ...] = ANY_NETWORK
    limits: CallerLimitSettings = CallerLimitSettings()


@dataclass(frozen=True, slots=True)
class RestrictedPortSettings:
    """A port that only listed networks may use. Port 0 takes any free port."""

    address: str
    port: int
    allowed_networks: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Where the key-value service and the host list are."""

    url: str


@dataclass(frozen=True, slots=True)
class SeedAddress:
    """Peer port of a host that may know the declaration."""

    address: str
    port: int


@dataclass(frozen=True, slots=True)
class DrainSettings:
    """Times of a planned stop, in seconds.

    Attributes
    ----------
    notice_s : float
        From failing readiness to closing the listener.
    limit_s : float
        Longest wait for requests in flight.
    """

    notice_s: float = DEFAULT_DRAIN_NOTICE_S
    limit_s: float = DEFAULT_DRAIN_LIMIT_S


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Where log records go; ``-`` is standard output."""

    path: str = "-"
    level: str = "info"


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one daemon.

    Attributes
    ----------
    peers_seed : tuple of SeedAddress
        Hosts to ask for the declaration when the platform does not answer.
    test_switches : bool
        Whether the operator port accepts switches for failure tests.
    """

    fleet: str
    host_id: HostId
    failure_domain: FailureDomain
    region: Region
    caller: CallerPortSettings
    peer: RestrictedPortSettings
    operator: RestrictedPortSettings
    platform: PlatformSettings
    peers_seed: tuple[SeedAddress, ...] = ()
    drain: DrainSettings = DrainSettings()
    log: LogSettings = LogSettings()
    test_switches: bool = False


def load_settings(path):
    """Read and check a settings file.

    Parameters
    ----------
    path : str or Path

    Raises
    ------
    SettingsError
        If the file cannot be read or a value is missing, unknown or out of range.
    """
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError("$", f"cannot read {path}: {error}") from error
    return parse_settings(text)


def parse_settings(text):
    """Check the text of a settings file and build the settings.

    Raises
    ------
    SettingsError
        With the JSON path of the first bad value.
    """
    try:
        document = json.loads(text)
    except ValueError as error:
        raise SettingsError("$", f"not JSON: {error}") from error
    for error in VALIDATOR.iter_errors(document):
        raise SettingsError(json_path(error.absolute_path), shape_reason(error))
    check_addresses(document)
    return build_settings(document)


def check_addresses(document):
    """Check the IP numbers and networks, which the schema takes as strings."""
    for section, key in (
        ("caller", "networks"),
        ("peer", "allowed_networks"),
        ("operator", "allowed_networks"),
    ):
        value = document[section]
        check_ip(value["address"], (section, "address"))
        for index, network in enumerate(value.get(key, ())):
            check_network(network, (section, key, index))
    for index, seed in enumerate(document.get("peers_seed", ())):
        address = parse_seed(seed)
        check_ip(address.address, ("peers_seed", index))
        if not 1 <= address.port <= MAX_PORT:
            at = json_path(("peers_seed", index))
            raise SettingsError(at, f"port {address.port} is out of range")


def check_ip(address, at):
    """Refuse what is not an IP number."""
    try:
        ip_address(address)
    except ValueError as error:
        raise SettingsError(json_path(at), str(error)) from error


def check_network(network, at):
    """Refuse what is not a network in CIDR form."""
    try:
        ip_network(network)
    except ValueError as error:
        raise SettingsError(json_path(at), str(error)) from error


def parse_seed(text):
    """Split ``address:port``; an IPv6 number stands in brackets."""
    address, _, port = text.rpartition(":")
    return SeedAddress(address.strip("[]"), int(port))


def build_settings(document):
    """Build the settings from a document that was checked."""
    caller = document["caller"]
    return Settings(
        fleet=document["fleet"],
        host_id=document["host_id"],
        failure_domain=document["failure_domain"],
        region=document["region"],
        caller=CallerPortSettings(
            address=caller["address"],
            port=caller["port"],
            networks=tuple(caller.get("networks", ANY_NETWORK)),
            limits=CallerLimitSettings(**caller.get("limits", {})),
        ),
        peer=restricted_port(document["peer"]),
        operator=restricted_port(document["operator"]),
        platform=PlatformSettings(url=document["platform"]["url"].rstrip("/")),
        peers_seed=tuple(parse_seed(seed) for seed in document.get("peers_seed", ())),
        drain=DrainSettings(**document.get("drain", {})),
        log=LogSettings(**document.get("log", {})),
        test_switches=document.get("test_switches", False),
    )


def restricted_port(value):
    """Build the settings of a port with allowed networks."""
    networks = tuple(value["allowed_networks"])
    return RestrictedPortSettings(value["address"], value["port"], networks)
