"""Settings of a process, read from a YAML file and checked."""

import ipaddress
import sys

import click
import msgspec
import yaml

from .core.addresses import split_address  # noqa: F401 - used by others
from .core.exceptions import EXIT_BAD_SETTINGS, SettingsError


class PeerSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Another host of the system, known from the start.

    Attributes:
        host: Its name.
        region: Its region.
        data_centre: Its data centre.
        forward: Its address for forwarded requests.
        control: Its address for control messages.
    """

    host: str
    region: str
    data_centre: str
    forward: str
    control: str


class ProcessSettings(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """What every process needs to know.

    Attributes:
        host: Name of the host, unique over all data centres.
        region: Region of the host.
        data_centre: Data centre of the host.
        regions: Every region there is.
        platform: Address of the platform's key-value service.
        host_list: Address of the platform's host list and directory.
        statsd: Address of the metrics collector, or an empty string.
        log: Least level of log lines on standard error.
        peer_secret: Secret that all hosts share.
    """

    host: str
    region: str
    data_centre: str
    regions: list[str]
    platform: str
    host_list: str
    peer_secret: str
    statsd: str = ""
    log: str = "INFO"


class GatewaySettings(ProcessSettings, kw_only=True):
    """Settings of ``hyssop-gateway``.

    Attributes:
        listen: Address for callers.
        forward: Address for requests that other hosts forward.
        control: Address for control messages of other hosts.
        peers: Hosts known from the start, for a start without platform.
        policy: Choice among the servers of the data centre.
        drain_seconds: Time to go on serving after a stop was asked for.
        trusted_callers: Whether a header may name the workspace in
            place of a key; only for closed networks and tests.
    """

    listen: str
    forward: str
    control: str
    peers: list[PeerSettings] = []
    policy: str = "affinity"
    drain_seconds: float = 3.0
    trusted_callers: bool = False


class AdminSettings(ProcessSettings, kw_only=True):
    """Settings of ``hyssop-admin``.

    Attributes:
        listen: Address for operators.
        tokens: Bearer token by team, at least one.
        gateways: Control pages of the gateways to ask for their state,
            by host name.
    """

    listen: str
    tokens: dict[str, str]
    gateways: dict[str, str] = {}


def load_settings(path, schema):
    """Read and check a settings file.

    Args:
        path: Path of the YAML file.
        schema: `GatewaySettings`, `AdminSettings` or alike.

    Raises:
        SettingsError: The file is wrong; one line says where and why.
    """
    try:
        with open(path, encoding="utf-8") as file:
            values = yaml.safe_load(file)
    except (OSError, yaml.YAMLError) as error:
        line = " ".join(str(error).split())
        raise SettingsError(f"{path}: cannot be read: {line}") from None
    return check_settings(path, values, schema)


def check_settings(path, values, schema):
    """Check *values* against *schema* and return the settings."""
    try:
        settings = msgspec.convert(values, schema)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}") from None
    for key in ("listen", "forward", "control"):
        address = getattr(settings, key, None)
        if address is not None:
            check_address(path, key, address)
    check_region(path, settings)
    return settings


def check_address(path, key, text):
    """Check that *text* is an IP address with a port.

    Raises:
        SettingsError: It is not.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
        is_valid = 0 <= int(port) <= 65535
    except ValueError:
        is_valid = False
    if not is_valid:
        raise SettingsError(
            f"{path}: {key}: expected IP address and port such as "
            f"127.0.0.1:8100, got {text!r}"
        )


def check_region(path, settings):
    """Check that the host's region is one of the known ones."""
    region = getattr(settings, "region", None)
    if region is not None and region not in settings.regions:
        known_regions = ", ".join(settings.regions)
        raise SettingsError(
            f"{path}: region: expected one of {known_regions}, got {region!r}"
        )


def settings_command(name, schema, run):
    """Return the click command of a binary that is run by settings.

    Args:
        name: Name of the binary.
        schema: Settings type.
        run: Called with the checked settings; runs the process.
    """

    @click.command(name, help=f"Run {name} as its settings file says.")
    @click.option(
        "--settings",
        "path",
        required=True,
        metavar="FILE",
        help="YAML file with the settings.",
    )
    @click.option("--check", is_flag=True, help="Check the file and stop.")
    @click.version_option(package_name="hyssopspring")
    def command(path, check):
        try:
            settings = load_settings(path, schema)
        except SettingsError as error:
            click.echo(str(error), err=True)
            sys.exit(EXIT_BAD_SETTINGS)
        if check:
            click.echo(f"{path}: in order")
            return
        run(settings)

    return command
