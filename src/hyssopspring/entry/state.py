"""What the parts of an entry process share."""

from dataclasses import dataclass

from ..core.sentinels import NOTHING

__all__ = ["EntryState"]


@dataclass(slots=True, eq=False, kw_only=True)
class EntryState:
    """Shared state of an entry process.

    Attributes:
        settings: The `EntrySettings`.
        clock: The runtime's clock.
        timeline: The `Timeline`.
        rng: Random number generator.
        keeper: `ConfigurationKeeper`.
        registry: `Registry` of backend servers.
        members: `Members`.
        asking: `Asking`.
        connections: `Connections`.
        remote_hosts: `RemoteHosts` of other regions.
        contact: `StoreContact` with the store.
        view: `ConfirmedView` of the configuration.
        provenance: `Provenance` of the configuration in force.
        retries: `RetryWindow`.
        crash_detector: `Endings` of backend servers.
        sharing: `CrashSharing` of requests under which servers ended.
        notices: `Notices` that servers give in their answers.
        codec: Reads and writes the headers of callers and servers.
        stopping_since: Time of the signal to stop, or `NOTHING`.
    """

    settings: object
    clock: object
    timeline: object
    rng: object
    keeper: object
    registry: object
    members: object
    asking: object
    connections: object
    remote_hosts: object
    contact: object
    view: object
    provenance: object
    retries: object
    crash_detector: object
    sharing: object
    notices: object
    codec: object
    stopping_since: object = NOTHING

    @property
    def stopping_for(self):
        """Seconds since the signal to stop, or 0."""
        if self.stopping_since is NOTHING:
            return 0.0
        return self.clock.seconds() - self.stopping_since
