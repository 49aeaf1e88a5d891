"""Settings of an entry process, independent of their file format."""

from dataclasses import dataclass, field

from ..core.exceptions import SettingsError
from ..core.sentinels import NOTHING

__all__ = ["EntrySettings", "check_settings"]


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings:
    """Settings that an entry process needs at its start.

    Attributes:
        host: Name of the host.
        address: Its IP address.
        data_centre: Its data centre.
        region: Its region.
        regions: Region by data centre, for all data centres.
        front: Address for callers, as ``ip:port``.
        ready: Address of the readiness page.
        directory: Address of the directory page.
        control: Address at which hosts that know no other host read a
            snapshot, or "".
        ports: First and last port for traffic between hosts.
        seeds: Control addresses of hosts that may be up.
        store: Address of the platform's store.
        capacity: Share of a core, as the weight of the host.
        retry_ratio: Retries allowed per request.
        retry_extra: Retries allowed in addition, over all hosts.
        retry_window: Seconds over which retries are counted.
        cold_factor: Factor on the rate limit of a cold server.
        cold_extra: Requests per second allowed in addition at a cold server.
        stop_seconds: Seconds from the stop signal to the end of the process.
        revocation: Seconds within which all hosts must refuse a revoked key,
            or `NOTHING` if there is no limit.
        apply_seconds: Seconds within which a change must be in force.
        limit_overage: Fraction by which limits may be exceeded over all hosts.
        limit_slack: Tokens by which limits may be exceeded in addition.
        limit_window: Seconds over which the excess is counted.
        min_lease_seconds: Shortest lease that the store grants, in seconds.
        memory_bytes: Memory that the process may use, or 0 for the default.
        max_descriptors: Descriptors that it may use, or 0 for the limit of
            the operating system.
        disabled_mechanisms: Each `Mechanism` that is switched off, for
            measurements.
    """

    host: str
    address: str
    data_centre: str
    region: str
    regions: dict = field(default_factory=dict)
    front: str
    ready: str = ""
    directory: str = ""
    control: str = ""
    ports: tuple[int, int]
    seeds: tuple[str, ...] = ()
    store: str
    capacity: float = 1.0
    retry_ratio: float = 0.2
    retry_extra: float = 10.0
    retry_window: float = 10.0
    cold_factor: float = 1.0
    cold_extra: float = 0.0
    stop_seconds: float = 8.0
    revocation: object = NOTHING
    apply_seconds: float = 4.0
    limit_overage: float = 0.0
    limit_slack: float = 0.0
    limit_window: float = 0.0
    min_lease_seconds: float = 1.0
    memory_bytes: int = 0
    max_descriptors: int = 0
    disabled_mechanisms: frozenset = frozenset()


def check_settings(settings):
    """Reject values that would otherwise fail later, under traffic.

    Raises:
        SettingsError: A value is out of range; the message names it.
    """
    first, last = settings.ports
    if not 0 < first < last <= 65535:
        raise SettingsError(
            f"ports: expected two ports in rising order, got {first},{last}"
        )
    if settings.stop_seconds <= 1:
        raise SettingsError(
            "stop_seconds: expected more than 1 second, got "
            f"{settings.stop_seconds}"
        )
    if settings.memory_bytes < 0:
        raise SettingsError(
            "memory_bytes: expected a positive number of bytes, got "
            f"{settings.memory_bytes}"
        )
    if settings.max_descriptors < 0:
        raise SettingsError(
            "max_descriptors: expected a positive number, got "
            f"{settings.max_descriptors}"
        )
    if settings.capacity <= 0:
        raise SettingsError(
            f"capacity: expected a positive share, got {settings.capacity}"
        )
    if settings.apply_seconds <= 0:
        raise SettingsError(
            "apply_seconds: expected a positive number of seconds, got "
            f"{settings.apply_seconds}"
        )
    if settings.revocation is not NOTHING and settings.revocation <= 0:
        raise SettingsError(
            "revocation: expected a positive number of seconds, got "
            f"{settings.revocation}"
        )
    return settings
