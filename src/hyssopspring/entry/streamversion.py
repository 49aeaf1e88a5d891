"""The version at which the stream of one request may go on."""

from ..core.outcomes import NotRun, Reason
from ..core.sentinels import NOTHING
from ..traffic.streamrecords import CONFLICT, origin_of
from .streamorigins import Evidence, FoundOrigin

__all__ = ["StreamVersion"]

UNANSWERED_RETRY_SECONDS = 0.5
"""Retry-After if hosts that may know the version did not answer. Another host
may reach them."""


CONCLUSIVE = (
    Evidence.RECORD,
    Evidence.STORED_RECORD,
    Evidence.CONTRADICTION,
    Evidence.UNLISTED,
)
"""Evidence beside which the versions of a service do not matter."""


class StreamVersion:
    """Version that began a stream, and where this host knows it from.

    Args:
        origins: The `StreamOrigins`.
        registry: The `Registry`.
        route: The `Route`.
        metadata: The `RequestMetadata`.

    Attributes:
        required: Version that a server must have; an empty string if the
            stream may not go on, as its version is not known; `NOTHING` before
            the first event.
        service: Service that began a stream that the caller resumes, or an
            empty string.
        source: Host that knew the version.
        evidence: The `Evidence` of a stream that the caller resumes, or
            `NOTHING`.
        age: Seconds since the first event when the caller resumed the stream.
    """

    def __init__(self, origins, registry, route, metadata):
        self.origins = origins
        self.registry = registry
        self.route = route
        self.metadata = metadata
        self.required = NOTHING
        self.service = ""
        self.source = ""
        self.evidence = NOTHING
        self.age = 0.0

    @property
    def is_resumed_by_caller(self):
        """Whether the caller holds a part of the stream already."""
        return self.route.stream and bool(self.metadata.last_event)

    @property
    def may_go_on(self):
        """Whether another server may send the rest."""
        return self.required is NOTHING or bool(self.required)

    def begin(self, service, version, start):
        """Record the version of the server that sent the first event.

        Args:
            service: The service.
            version: The version, or "" if it is not known.
            start: `StreamStart` whose version may be listed later, or
                `NOTHING`.
        """
        if self.required is not NOTHING:
            return
        self.required = version
        self.source = self.origins.host
        self.origins.record(
            self.metadata.id,
            service,
            version,
            is_split=len(self.route.services) > 1,
            start=start,
        )

    async def resolve(self):
        """Find out which version began a stream that its caller resumes.

        Returns:
            A `NotRun` if the stream cannot go on, or `NOTHING`.
        """
        services = [share.service for share in self.route.services]
        found = await self.look_up(services)
        self.evidence = found.evidence
        if found.origin == CONFLICT:
            return self.refusal(Reason.VERSION_UNKNOWN, found.unanswered)
        self.source, self.age = found.source, found.age
        for service in services:
            for version in self.registry.known_versions(service):
                if origin_of(service, version) == found.origin:
                    return self.use(service, version)
        # The list of this host may be behind.
        return self.refusal(Reason.VERSION_UNKNOWN, 1)

    async def look_up(self, services):
        """Return the `FoundOrigin` of the stream.

        What no host knows, and a stream of which the caller does not name the
        first attempt, has the only version that its service has ever had.
        """
        found = FoundOrigin(evidence=Evidence.NO_ATTEMPT)
        if self.metadata.first_attempt:
            found = await self.origins.find(self.metadata.first_attempt)
            if found.evidence is Evidence.NO_RECORD:
                found = self.origins.find_archived(
                    self.metadata.first_attempt, found
                )
        is_known = found.evidence in CONCLUSIVE
        if is_known or len(services) > 1:
            return found
        return await self.origins.find_single(services[0], found)

    def use(self, service, version):
        """Require a version; return a `NotRun` if no server has it."""
        self.service, self.required = service, version
        if not self.registry.offers(service, version):
            return self.refusal(Reason.VERSION_GONE)
        self.origins.resumed += 1
        return NOTHING

    def refusal(self, reason, unanswered=0):
        """Return the `NotRun` of a stream that cannot go on.

        Args:
            reason: The `Reason`.
            unanswered: Number of hosts that may know more.
        """
        self.origins.refused[reason.value] += 1
        wait = UNANSWERED_RETRY_SECONDS if unanswered else NOTHING
        return NotRun(reason, wait)

    def details(self):
        """Return the log fields of the stream."""
        found = {}
        if self.is_resumed_by_caller:
            found["resumes"] = self.metadata.first_attempt.decode("latin-1")
            found["after_event"] = self.metadata.last_event.decode("latin-1")
        if self.evidence is not NOTHING:
            found["stream_evidence"] = self.evidence
        if self.required is not NOTHING:
            found["stream_version"] = self.required
            found["stream_version_from"] = self.source
            found["stream_version_age"] = round(self.age, 1)
        return found
