"""Settings of a process: loading from a YAML file and validation."""

import sys
from typing import Annotated

import click
import msgspec
import yaml

from .core.addresses import (
    is_ip_address,
    split_address,  # noqa: F401 - re-exported
)
from .core.exceptions import EXIT_BAD_SETTINGS, SettingsError
from .net.clientaccounts import limits_for


class PeerSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Another host of the system, configured as a seed.

    Attributes:
        host: Name of the host.
        region: Region of the host.
        data_centre: Data centre of the host.
        forward: Address of the host for forwarded requests.
        control: Address of the host for control messages.
    """

    host: str
    region: str
    data_centre: str
    forward: str
    control: str


class ProcessSettings(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True
):
    """Settings that all processes have in common.

    Attributes:
        host: Name of the host, unique over all data centres.
        region: Region of the host.
        data_centre: Data centre of the host.
        regions: Names of all regions.
        platform: Address of the platform's key-value service.
        host_list: Address of the platform's host list and directory.
        peer_secret: Secret that all hosts share.
        statsd: Address of the statsd server, or an empty string.
        log: Minimum level of log lines on standard error.
        memory_mb: Memory that the process may use, in units of 1024 * 1024
            bytes, or 0 for the default.
        max_descriptors: Descriptors that it may use, or 0 for the limit of
            the operating system.
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
    memory_mb: Annotated[int, msgspec.Meta(ge=0)] = 0
    max_descriptors: Annotated[int, msgspec.Meta(ge=0)] = 0

    def client_limits(self):
        """Return the `ClientLimits` of the process."""
        memory_bytes = self.memory_mb * 1024 * 1024
        return limits_for(memory_bytes, self.max_descriptors)


class GatewaySettings(ProcessSettings, kw_only=True):
    """Settings of ``hyssop-gateway``.

    Attributes:
        listen: Address for callers.
        forward: Address for requests that other hosts forward.
        control: Address for control messages of other hosts.
        peers: Seed hosts, with which the gateway can start while the
            platform is unavailable.
        policy: Name of the policy that selects a backend server in the
            data centre.
        drain_seconds: Time for which the gateway continues to serve after
            a stop signal.
        stop_seconds: Time from the first stop signal to the end of the
            process, within which every request is answered.
        trusted_callers: Whether a header may name the workspace in place
            of a key; only for closed networks and tests.
    """

    listen: str
    forward: str
    control: str
    peers: list[PeerSettings] = []
    policy: str = "affinity"
    drain_seconds: float = 3.0
    stop_seconds: float = 30.0
    trusted_callers: bool = False


class AdminSettings(ProcessSettings, kw_only=True):
    """Settings of ``hyssop-admin``.

    Attributes:
        listen: Address for operators.
        tokens: Bearer token by team, at least one.
        gateways: Addresses of the gateways' control endpoints for status
            queries, by host name.
        stop_seconds: Time from the first stop signal to the end of the
            process, within which every request is answered.
    """

    listen: str
    tokens: dict[str, str]
    gateways: dict[str, str] = {}
    stop_seconds: float = 30.0


def load_settings(path, schema):
    """Load and validate a settings file.

    Args:
        path: Path of the YAML file.
        schema: Settings class, such as `GatewaySettings`.

    Raises:
        SettingsError: The file cannot be read or is invalid. The message
            is a single line with the place and the reason.
    """
    try:
        with open(path, encoding="utf-8") as file:
            values = yaml.safe_load(file)
    except (OSError, yaml.YAMLError) as error:
        line = " ".join(str(error).split())
        raise SettingsError(f"{path}: cannot read settings: {line}") from None
    return check_settings(path, values, schema)


def check_settings(path, values, schema):
    """Validate *values* and return them as settings.

    Args:
        path: Path of the settings file, for error messages.
        values: Content of the file.
        schema: Settings class.

    Raises:
        SettingsError: A value is missing or invalid.
    """
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

    Args:
        path: Path of the settings file, for the error message.
        key: Name of the setting.
        text: Value of the setting.

    Raises:
        SettingsError: The value is not a valid address.
    """
    if not is_ip_address(text, lowest_port=0):
        raise SettingsError(
            f"{path}: {key}: expected an IP address and a port such as "
            f"127.0.0.1:8100, got {text!r}"
        )


def check_region(path, settings):
    """Check that the region of the host is one of the listed regions.

    Args:
        path: Path of the settings file, for the error message.
        settings: The settings.

    Raises:
        SettingsError: The region is not listed.
    """
    region = getattr(settings, "region", None)
    if region is not None and region not in settings.regions:
        known_regions = ", ".join(settings.regions)
        raise SettingsError(
            f"{path}: region: expected one of {known_regions}, got {region!r}"
        )


def settings_command(name, schema, run):
    """Return the click command of a program that takes a settings file.

    Args:
        name: Name of the program.
        schema: Settings class.
        run: Called with the validated settings; runs the process.
    """

    @click.command(name, help=f"Run {name} with a settings file.")
    @click.option(
        "--settings",
        "path",
        required=True,
        metavar="FILE",
        help="YAML file with the settings of the process.",
    )
    @click.option("--check", is_flag=True, help="Validate the file and exit.")
    @click.version_option(package_name="hyssopspring")
    def command(path, check):
        try:
            settings = load_settings(path, schema)
        except SettingsError as error:
            click.echo(str(error), err=True)
            sys.exit(EXIT_BAD_SETTINGS)
        if check:
            click.echo(f"{path}: settings are valid")
            return
        run(settings)

    return command
