"""Parse the settings file that the platform writes for each process."""

from ..core.exceptions import SettingsError
from ..core.sentinels import NOTHING
from ..entry.settings import EntrySettings, check_settings

__all__ = ["PATH_VARIABLE", "parse_settings", "read_settings"]

PATH_VARIABLE = "HYSSOPSPRING_BOOT"
"""Environment variable with the path of the settings file."""

MEGABYTE = 1024 * 1024

DATA_CENTRE_PREFIX = "zones."
"""Prefix of the settings that map data centres to regions."""


def read_settings(path):
    """Read and validate the file at *path*.

    Raises:
        SettingsError: The file cannot be read, or a value is missing or
            invalid.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as problem:
        raise SettingsError(
            f"{path}: cannot read settings: {problem}"
        ) from None
    return parse_settings(path, text)


def parse_settings(path, text):
    """Return the `EntrySettings` of a file's *text*.

    Each line consists of a dotted name, an equals sign and a value; lists
    are separated by commas.

    Raises:
        SettingsError: A value is missing or invalid; the message names it.
    """
    values = {}
    for line in text.splitlines():
        name, equals, value = line.partition("=")
        if equals:
            values[name.strip()] = value.strip()
    try:
        return check_settings(decode_settings(values))
    except KeyError as missing:
        raise SettingsError(f"{path}: {missing.args[0]}: missing") from None
    except ValueError as problem:
        raise SettingsError(f"{path}: {problem}") from None


def decode_settings(values):
    """Return the `EntrySettings` of the values by name."""
    regions = {
        name.removeprefix(DATA_CENTRE_PREFIX): region
        for name, region in values.items()
        if name.startswith(DATA_CENTRE_PREFIX)
    }
    first, last = values["port_range"].split(",")
    cores = parse_number(values, "limits.cores", 1.0)
    return EntrySettings(
        host=values["node"],
        address=values["ip"],
        data_centre=values["zone"],
        region=values["region"],
        regions=regions,
        front=values["listen.front"],
        ready=values.get("listen.ready", ""),
        directory=values.get("listen.directory", ""),
        control=values.get("listen.control", ""),
        ports=(int(first), int(last)),
        seeds=tuple(filter(None, values.get("seeds", "").split(","))),
        store=values["platform.address"],
        capacity=parse_number(values, "limits.cpu_share", 1.0) * cores,
        retry_ratio=parse_number(values, "bounds.retry_budget_ratio", 0.2),
        retry_extra=parse_number(values, "bounds.retry_budget_extra", 10.0),
        retry_window=parse_number(values, "bounds.budget_window_s", 10.0),
        cold_factor=parse_number(values, "bounds.cold_over", 1.0),
        cold_extra=parse_number(values, "bounds.cold_slack", 0.0),
        stop_seconds=parse_number(values, "bounds.grace_s", 8.0),
        revocation=revocation_seconds(values),
        apply_seconds=parse_number(values, "bounds.config_apply_ms", 4000.0)
        / 1000,
        limit_overage=parse_number(values, "bounds.quota_overage", 0.0),
        limit_slack=parse_number(values, "bounds.quota_slack", 0.0),
        limit_window=parse_number(values, "bounds.quota_window_s", 0.0),
        memory_bytes=int(
            parse_number(values, "limits.memory_mb", 0.0) * MEGABYTE
        ),
        max_descriptors=int(parse_number(values, "limits.max_fds", 0.0)),
        min_lease_seconds=parse_number(values, "platform.ttl_min_ms", 1000.0)
        / 1000,
    )


def revocation_seconds(values):
    """Return the seconds within which a revoked key must stop working.

    Returns:
        The seconds, or `NOTHING` unless strict revocation is set.
    """
    strict = values.get("bounds.strict_revoke", "") == "true"
    millis = parse_number(values, "bounds.revoke_ms", NOTHING)
    if not strict or millis is NOTHING:
        return NOTHING
    return millis / 1000


def parse_number(values, name, default):
    """Return the number set for *name*, or *default* if it is not set.

    Raises:
        ValueError: The value is not a number; the message names it.
    """
    text = values.get(name, "")
    if not text:
        return default
    try:
        return float(text)
    except ValueError:
        raise ValueError(f"{name}: expected a number, got {text!r}") from None
