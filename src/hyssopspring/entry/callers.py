"""HTTP interface for callers."""

from twisted.python.failure import Failure

from ..core.events import EventKind
from ..core.outcomes import Reason
from ..core.sentinels import NOTHING
from ..net.inprogress import Wait
from .admission import Denied, authorize
from .exchanges import Exchange
from .holding import HoldingQueue
from .stopping import STOPPING_RETRY_SECONDS, STOPPING_TEXT
from .web import respond_refusal

__all__ = ["CallerApi"]

STARTING_RETRY_SECONDS = 0.4
"""Retry-After of a host that is starting. It reads the configuration within
this time."""

NO_STORE_RETRY_SECONDS = 2.0
"""Retry-After of a host that cannot read the configuration from the store.
After a shorter time, most callers would be refused a second time."""

MAX_STARTUP_WAIT_SECONDS = 0.6
"""Maximum number of seconds for which a request waits for the first
configuration. A host far from the store reads it within 0.4 s of its start.
Callers retry only once, and a refusal would cost them that retry and a new
connection."""

MAX_VERIFICATION_SECONDS = 1.0
"""Maximum number of seconds for which a request with an unknown route or key
waits until it is verified that the route or key does not exist. Other hosts
respond within one round trip, the store within two."""

UNKNOWN_RETRY_SECONDS = 0.5
"""Retry-After of a host that cannot verify an unknown route or key."""

UNAUTHORIZED = 401


class CallerApi:
    """Serve the requests of callers.

    Args:
        state: The `EntryState`.
        views: The `ViewVerifier`.
    """

    def __init__(self, state, views):
        self.state = state
        self.views = views
        self.exchanges = set()
        self.accepted = 0
        self.startup_queue = HoldingQueue(
            state.clock,
            MAX_STARTUP_WAIT_SECONDS,
            self.serve_queued,
            lambda request: request.guard(self.refuse_starting),
        )
        self.unverified_queue = HoldingQueue(
            state.clock,
            MAX_VERIFICATION_SECONDS,
            self.serve_queued,
            lambda request: request.guard(self.refuse_unverified),
        )

    def handle(self, request):
        """Serve a complete request, or queue it for the first configuration.

        A request with a key is refused at once. Another host can serve it now,
        and this host may still be unable to check the key after its first
        configuration.
        """
        now = self.state.clock.seconds()
        if self.state.keeper.current is not NOTHING:
            self.serve(request, now)
            return
        if not self.accepts(MAX_STARTUP_WAIT_SECONDS):
            self.refuse_stopping(request)
            return
        request.tracked.waits_for = Wait.CONFIGURATION
        if self.has_key(request) or not self.startup_queue.enqueue(
            request, now
        ):
            self.refuse_starting(request)

    def has_key(self, request):
        """Return whether the request carries a key."""
        headers = request.requestHeaders
        return bool(self.state.codec.read_caller(headers).key_digest)

    def refuse_starting(self, request):
        """Refuse a request because there is no configuration."""
        failing = self.state.contact.failing_since is not NOTHING
        wait = NO_STORE_RETRY_SECONDS if failing else STARTING_RETRY_SECONDS
        self.refuse(request, "this host has no configuration yet", wait)

    def serve_queued(self, request, arrived):
        """Serve a request that was queued when it was read."""
        request.guard(self.serve, arrived)

    def serve(self, request, arrived):
        """Serve a request that arrived at the time *arrived*."""
        configuration = self.state.keeper.current
        route = self.find_route(configuration, request)
        if route is NOTHING:
            if self.is_verified(request, arrived):
                self.refuse_unknown(request)
            return
        if not self.accepts(route.timeout, stream=route.stream):
            self.refuse_stopping(request)
            return
        metadata = self.state.codec.read_caller(request.requestHeaders)
        permissions = authorize(
            configuration, route, metadata, confirmed=self.state.view.is_fresh
        )
        if isinstance(permissions, Denied):
            if permissions.reason is Reason.UNVERIFIED:
                self.views.refresh()
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
        self.accepted += 1
        exchange.start()

    def find_route(self, configuration, request):
        """Return the `Route` of a request, or `NOTHING`."""
        hosts = request.requestHeaders.getRawHeaders(b"host", [b""])
        host = hosts[0].decode("latin-1").partition(":")[0].lower()
        path = request.path.decode("latin-1")
        return configuration.find_route(host, path)

    def is_verified(self, request, arrived):
        """Return whether an unknown route or key is known not to exist.

        If that is not certain, the request is queued until it is. It is
        refused at once if the queue is full, if verification has been
        failing for as long as a request may wait, or if this host stops
        sooner.
        """
        if self.state.view.can_deny:
            return True
        if not self.accepts(MAX_VERIFICATION_SECONDS):
            self.refuse_stopping(request)
            return False
        verification_failing = (
            self.views.verifying_seconds >= MAX_VERIFICATION_SECONDS
        )
        request.tracked.waits_for = Wait.VERIFICATION
        if verification_failing or not self.unverified_queue.enqueue(
            request, arrived
        ):
            self.refuse_unverified(request)
        self.views.verify()
        return False

    def refuse_unverified(self, request):
        """Refuse a request whose route or key could not be verified."""
        self.refuse(request, Reason.UNVERIFIED, UNKNOWN_RETRY_SECONDS)

    def refuse_unknown(self, request):
        """Respond that there is no such route."""
        self.log_refusal(request, "no such route", 0.0)
        respond_refusal(request, 404, "no such route")

    def deny(self, request, denied):
        """Respond that a request is not permitted, or not at present."""
        headers = []
        if denied.retry_after is not NOTHING:
            headers = [(b"retry-after", b"%.3f" % denied.retry_after)]
        self.log_refusal(request, denied.reason, denied.retry_after)
        reason = str(denied.reason)
        respond_refusal(request, denied.status, reason, headers)

    def accepts(self, timeout, *, stream=False):
        """Return whether a request may be accepted, as this host may stop.

        Args:
            timeout: Seconds that the request may take.
            stream: Whether its response is a stream.
        """
        return self.state.stopping.accepts(
            timeout, stream=stream, busy=self.has_streams()
        )

    def has_streams(self):
        """Return whether streams are in progress.

        While a stopping host waits for a stream to end, it may serve short
        requests as well. Without a stream, serving them would only delay the
        host that replaces it.
        """
        return any(one.route.stream for one in self.exchanges)

    def must_stay_up(self):
        """Return whether a stopping host has to stay up for callers."""
        return self.has_streams() or self.state.stopping.is_last_host()

    def refuse_stopping(self, request):
        """Refuse a request because this host stops."""
        self.refuse(request, STOPPING_TEXT, STOPPING_RETRY_SECONDS)

    def refuse(self, request, text, retry_after):
        """Respond that the request was not run."""
        self.log_refusal(request, text, retry_after)
        headers = [(b"retry-after", b"%.3f" % retry_after)]
        respond_refusal(request, 503, text, headers)

    def log_refusal(self, request, reason, retry_after):
        """Log a refusal before any attempt."""
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
        """Enforce the time limits of queued requests and of those running."""
        now = self.state.clock.seconds()
        for exchange in list(self.exchanges):
            try:
                exchange.check(now)
            except Exception:  # noqa: BLE001 - all are logged
                exchange.handle_error(Failure())
        self.startup_queue.refuse_expired(now)
        if self.unverified_queue.waiting:
            self.check_unverified(now)

    def check_unverified(self, now):
        """Serve or deny the requests that wait for verification."""
        if self.state.view.can_deny:
            self.unverified_queue.release()
            return
        self.views.verify()
        self.unverified_queue.refuse_expired(now)
