"""The listener for callers."""

from ..core.events import EventKind
from ..core.outcomes import Reason
from ..core.sentinels import NOTHING
from .admission import Denied, authorize
from .exchanges import Exchange
from .holding import HoldingQueue
from .web import respond_refusal

__all__ = ["CallerApi"]

STARTING_RETRY_SECONDS = 0.4
"""Seconds after which to come back to a host that is starting; it reads
the configuration within that time."""

NO_STORE_RETRY_SECONDS = 2.0
"""Seconds after which to come back to a host that cannot read the
configuration; sooner, most callers would be refused a second time."""

STOPPING_RETRY_SECONDS = 0.05
"""Seconds after which to come back when this host stops; another host can
take the request at once."""

DRAIN_ACCEPT_SECONDS = 1.3
"""Seconds for which a stopping host takes all requests: the time for which
callers keep a directory answer, and one heartbeat."""

LAST_HOST_STREAM_SECONDS = 2.8
"""Seconds for which the last host of a region still takes streams while it
stops; a later one may not end in time."""

STOP_MARGIN_SECONDS = 0.8
"""Seconds before the end of the time to stop at which the process ends,
for its own end and a late timer."""

MAX_STARTUP_WAIT_SECONDS = 0.6
"""Seconds for which a request waits for the first configuration. A host
far from the store reads it in 0.4 s after its start; callers come back but
once, and a refusal would cost them that and a new connection."""

MAX_VERIFICATION_SECONDS = 1.0
"""Seconds for which a request waits whose route or key is unknown here,
until it is sure that they do not exist. Other hosts answer questions in a
round trip, the store in two."""

UNVERIFIED_RETRY_SECONDS = 0.5
"""Seconds after which to come back to a host that cannot make sure."""

UNAUTHORIZED = 401


class CallerApi:
    """Serve callers.

    Args:
        state: The `EntryState`.
        views: The `ViewChecking`.
    """

    def __init__(self, state, views):
        self.state = state
        self.views = views
        self.exchanges = set()
        self.startup_queue = HoldingQueue(
            state.clock,
            MAX_STARTUP_WAIT_SECONDS,
            self.serve,
            self.refuse_starting,
        )
        self.unverified_queue = HoldingQueue(
            state.clock,
            MAX_VERIFICATION_SECONDS,
            self.serve,
            self.refuse_unverified,
        )

    def handle(self, request):
        """Serve one whole request, or hold it for the first configuration.

        One with a key is refused at once: another host can serve it now,
        and this one may not believe the key even then.
        """
        now = self.state.clock.seconds()
        if self.state.keeper.current is not NOTHING:
            self.serve(request, now)
        elif self.has_key(request) or not self.startup_queue.enqueue(
            request, now
        ):
            self.refuse_starting(request)

    def has_key(self, request):
        """Whether the caller shows a key."""
        headers = request.requestHeaders
        return bool(self.state.codec.read_caller(headers).key_digest)

    def refuse_starting(self, request):
        """Refuse a request, as there is no configuration."""
        failing = self.state.contact.failing_since is not NOTHING
        wait = NO_STORE_RETRY_SECONDS if failing else STARTING_RETRY_SECONDS
        self.refuse(request, "no configuration yet", wait)

    def serve(self, request, arrived):
        """Serve a request that came at the time *arrived*."""
        configuration = self.state.keeper.current
        route = self.find_route(configuration, request)
        if route is NOTHING:
            if self.is_verified(request, arrived):
                self.refuse_unknown(request)
            return
        if self.stops_too_soon(route):
            self.refuse(
                request, "this host is stopping", STOPPING_RETRY_SECONDS
            )
            return
        metadata = self.state.codec.read_caller(request.requestHeaders)
        permissions = authorize(
            configuration, route, metadata, confirmed=self.state.view.is_fresh
        )
        if isinstance(permissions, Denied):
            if permissions.reason is Reason.UNVERIFIED:
                self.views.hurry()
            identified = permissions.status != UNAUTHORIZED
            if identified or self.is_verified(request, arrived):
                self.deny(request, permissions)
            return
        exchange = Exchange(
            self.state,
            request,
            route,
            metadata,
            permissions,
            self.exchanges.discard,
            arrived=arrived,
        )
        self.exchanges.add(exchange)
        exchange.start()

    def find_route(self, configuration, request):
        """Return the `Route` of a request, or `NOTHING`."""
        hosts = request.requestHeaders.getRawHeaders(b"host", [b""])
        host = hosts[0].decode("latin-1").partition(":")[0].lower()
        path = request.path.decode("latin-1")
        return configuration.find_route(host, path)

    def is_verified(self, request, arrived):
        """Whether what is not known here does not exist.

        If it is not sure the request waits until it is, or is refused: at
        once where others have waited in vain a moment ago.
        """
        if self.state.view.denies:
            return True
        recent_timeout = self.views.doubted_for >= MAX_VERIFICATION_SECONDS
        if recent_timeout or not self.unverified_queue.enqueue(
            request, arrived
        ):
            self.refuse_unverified(request)
        self.views.verify()
        return False

    def refuse_unverified(self, request):
        """Refuse a request of which it is not sure whether it is allowed."""
        self.refuse(request, Reason.UNVERIFIED, UNVERIFIED_RETRY_SECONDS)

    def refuse_unknown(self, request):
        """Answer that there is no such route."""
        self.log_refusal(request, "no such route", 0.0)
        respond_refusal(request, 404, "no such route")

    def deny(self, request, denied):
        """Answer that a request may not be made, or not now."""
        headers = []
        if denied.retry_after is not NOTHING:
            headers = [(b"retry-after", b"%.3f" % denied.retry_after)]
        self.log_refusal(request, denied.reason, denied.retry_after)
        reason = str(denied.reason)
        respond_refusal(request, denied.status, reason, headers)

    def stops_too_soon(self, route):
        """Whether this host stops too soon to finish the request."""
        seconds = self.state.stopping_for
        if seconds <= DRAIN_ACCEPT_SECONDS:
            return False
        if not self.must_stay_up():
            return True
        if route.stream:
            return (
                seconds > LAST_HOST_STREAM_SECONDS or not self.is_last_host()
            )
        end = self.state.settings.stop_seconds - STOP_MARGIN_SECONDS
        return seconds + route.timeout > end

    def must_stay_up(self):
        """Whether this host has to stay up for others than the newest.

        While it waits for the end of a stream it may as well serve what
        is short; without a stream it only delays its successor.
        """
        streams = any(one.route.stream for one in self.exchanges)
        return streams or self.is_last_host()

    def is_last_host(self):
        """Whether no other host of the region takes requests."""
        now = self.state.clock.seconds()
        region = self.state.settings.region
        live = self.state.members.live(now, region=region)
        return not any(member.version for member in live)

    def refuse(self, request, text, retry_after):
        """Answer that the request was not run."""
        self.log_refusal(request, text, retry_after)
        headers = [(b"retry-after", b"%.3f" % retry_after)]
        respond_refusal(request, 503, text, headers)

    def log_refusal(self, request, reason, retry_after):
        """Put a refusal at the listener on the time line."""
        metadata = self.state.codec.read_caller(request.requestHeaders)
        self.state.timeline.note(
            EventKind.NOT_RUN,
            request=metadata.id.decode("latin-1"),
            reason=reason,
            retry_after=retry_after,
            contact_age=round(min(self.state.contact.age, 1e6), 1),
            **self.state.provenance.details(),
        )

    def check(self):
        """Look after the requests in progress."""
        now = self.state.clock.seconds()
        self.startup_queue.refuse_expired(now)
        if self.unverified_queue.waiting:
            self.check_unverified(now)
        for exchange in list(self.exchanges):
            exchange.check(now)

    def check_unverified(self, now):
        """Serve or deny the requests that wait for a sure view."""
        if self.state.view.denies:
            self.unverified_queue.release()
            return
        self.views.verify()
        self.unverified_queue.refuse_expired(now)
