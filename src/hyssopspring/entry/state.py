"""State shared by the parts of an entry process."""

from dataclasses import dataclass

__all__ = ["EntryState"]


@dataclass(slots=True, eq=False, kw_only=True)
class EntryState:
    """Shared state of an entry process.

    Attributes:
        settings: The `EntrySettings`.
        clock: The runtime's clock.
        timeline: The `Timeline`.
        rng: Random number generator.
        keeper: The `ConfigurationKeeper`.
        registry: The `Registry` of backend servers.
        members: The `Members`.
        coordinator: The `PlacementCoordinator`.
        connections: The `Connections`.
        remote_hosts: The `RemoteHosts`.
        contact: The `StoreContact`.
        view: The `ConfirmedView` of the configuration.
        provenance: The `Provenance` of the configuration in force.
        retries: The `WindowedRetryBudget`.
        crash_detector: The `CrashDetector` of backend servers.
        sharing: The `CrashSharing` of requests that crash servers.
        notices: The `ServerNotices` that servers send in their responses.
        stream_origins: The `StreamOrigins`.
        starts: The `ServerStarts`.
        codec: Reads and writes the headers of callers and servers.
        stopping: The `Stopping` of this process.
    """

    settings: object
    clock: object
    timeline: object
    rng: object
    keeper: object
    registry: object
    members: object
    coordinator: object
    connections: object
    remote_hosts: object
    contact: object
    view: object
    provenance: object
    retries: object
    crash_detector: object
    sharing: object
    notices: object
    stream_origins: object
    starts: object
    codec: object
    stopping: object
