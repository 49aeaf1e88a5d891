"""The listener for callers."""

from ..core.events import EventKind
from ..core.outcomes import Reason
from ..core.sentinels import NOTHING
from .admission import Barred, rights_of
from .exchanges import Exchange
from .holding import HoldingQueue
from .web import respond_refusal

__all__ = ["CallerApi"]

STARTING_RETRY = 0.4
"""Seconds after which to come back to a host that is starting; it reads
the configuration within that time."""

NO_STORE_RETRY = 2.0
"""Seconds after which to come back to a host that cannot read the
configuration; sooner, most callers would be refused a second time."""

STOPPING_RETRY = 0.05
"""Seconds after which to come back when this host stops; another host can
take the request at once."""

SERVE_ON = 1.3
"""Seconds for which a stopping host takes all requests: the time for which
callers keep a directory answer, and one heartbeat."""

LAST_STREAM = 2.8
"""Seconds for which the last host of a region still takes streams while it
stops; a later one may not end in time."""

FINISH_MARGIN = 0.8
"""Seconds before the end of the time to stop at which the process ends,
for its own end and a late timer."""

LONGEST_START = 0.6
"""Seconds for which a request waits for the first configuration. A host
far from the store reads it in 0.4 s after its start; callers come back but
once, and a refusal would cost them that and a new connection."""

LONGEST_DOUBT = 1.0
"""Seconds for which a request waits whose route or key is unknown here,
until it is sure that they do not exist. Other hosts answer questions in a
round trip, the store in two."""

DOUBT_RETRY = 0.5
"""Seconds after which to come back to a host that cannot make sure."""

UNAUTHORIZED = 401


class CallerApi:
    """Serve callers.

    Args:
        state: The `EntryState`.
        views: The `ViewVerifier`.
    """

    def __init__(self, state, views):
        self.state = state
        self.views = views
        self.exchanges = set()
        self.starting = HoldingQueue(
            state.clock, LONGEST_START, self.serve, self.refuse_starting
        )
        self.doubted = HoldingQueue(
            state.clock, LONGEST_DOUBT, self.serve, self.refuse_doubted
        )

    def handle(self, request):
        """Serve one whole request, or hold it for the first configuration.

        One with a key is refused at once: another host can serve it now,
        and this one may not believe the key even then.
        """
        now = self.state.clock.seconds()
        if self.state.keeper.current is not NOTHING:
            self.serve(request, now)
        elif self.shows_key(request) or not self.starting.hold(request, now):
            self.refuse_starting(request)

    def shows_key(self, request):
        """Whether the caller shows a key."""
        headers = request.requestHeaders
        return bool(self.state.codec.read_caller(headers).key_digest)

    def refuse_starting(self, request):
        """Refuse a request, as there is no configuration."""
        failing = self.state.contact.failing_since is not NOTHING
        wait = NO_STORE_RETRY if failing else STARTING_RETRY
        self.refuse(request, "no configuration yet", wait)

    def serve(self, request, arrived):
        """Serve a request that came at the time *arrived*."""
        configuration = self.state.keeper.current
        route = self.find_route(configuration, request)
        if route is NOTHING:
            if self.is_sure(request, arrived):
                self.refuse_unknown(request)
            return
        if self.too_late(route):
            self.refuse(request, "this host is stopping", STOPPING_RETRY)
            return
        facts = self.state.codec.read_caller(request.requestHeaders)
        rights = rights_of(
            configuration, route, facts, confirmed=self.state.view.is_fresh
        )
        if isinstance(rights, Barred):
            if rights.reason is Reason.UNVERIFIED:
                self.views.refresh()
            known = rights.status != UNAUTHORIZED
            if known or self.is_sure(request, arrived):
                self.bar(request, rights)
            return
        exchange = Exchange(
            self.state,
            request,
            route,
            facts,
            rights,
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

    def is_sure(self, request, arrived):
        """Whether what is not known here does not exist.

        If it is not sure the request waits until it is, or is refused: at
        once where others have waited in vain a moment ago.
        """
        if self.state.view.can_deny:
            return True
        in_vain = self.views.verifying_seconds >= LONGEST_DOUBT
        if in_vain or not self.doubted.hold(request, arrived):
            self.refuse_doubted(request)
        self.views.verify()
        return False

    def refuse_doubted(self, request):
        """Refuse a request of which it is not sure whether it is allowed."""
        self.refuse(request, Reason.UNVERIFIED, DOUBT_RETRY)

    def refuse_unknown(self, request):
        """Answer that there is no such route."""
        self.note_refusal(request, "no such route", 0.0)
        respond_refusal(request, 404, "no such route")

    def bar(self, request, barred):
        """Answer that a request may not be made, or not now."""
        headers = []
        if barred.retry_after is not NOTHING:
            headers = [(b"retry-after", b"%.3f" % barred.retry_after)]
        self.note_refusal(request, barred.reason, barred.retry_after)
        reason = str(barred.reason)
        respond_refusal(request, barred.status, reason, headers)

    def too_late(self, route):
        """Whether this host stops too soon to finish the request."""
        seconds = self.state.stopping_for
        if seconds <= SERVE_ON:
            return False
        if not self.holds_on():
            return True
        if route.stream:
            return seconds > LAST_STREAM or not self.is_last()
        end = self.state.settings.stop_seconds - FINISH_MARGIN
        return seconds + route.timeout > end

    def holds_on(self):
        """Whether this host has to stay up for others than the newest.

        While it waits for the end of a stream it may as well serve what
        is short; without a stream it only delays its successor.
        """
        streams = any(one.route.stream for one in self.exchanges)
        return streams or self.is_last()

    def is_last(self):
        """Whether no other host of the region takes requests."""
        now = self.state.clock.seconds()
        region = self.state.settings.region
        live = self.state.members.live(now, region=region)
        return not any(member.version for member in live)

    def refuse(self, request, text, retry_after):
        """Answer that the request was not run."""
        self.note_refusal(request, text, retry_after)
        headers = [(b"retry-after", b"%.3f" % retry_after)]
        respond_refusal(request, 503, text, headers)

    def note_refusal(self, request, reason, retry_after):
        """Put a refusal at the listener on the time line."""
        facts = self.state.codec.read_caller(request.requestHeaders)
        self.state.timeline.note(
            EventKind.NOT_RUN,
            request=facts.id.decode("latin-1"),
            reason=reason,
            retry_after=retry_after,
            contact_age=round(min(self.state.contact.age, 1e6), 1),
            **self.state.provenance.details(),
        )

    def check(self):
        """Look after the requests in progress."""
        now = self.state.clock.seconds()
        self.starting.check(now)
        if self.doubted.waiting:
            self.resolve_doubts(now)
        for exchange in list(self.exchanges):
            exchange.check(now)

    def resolve_doubts(self, now):
        """Serve or deny the requests that wait for a sure view."""
        if self.state.view.can_deny:
            self.doubted.release()
            return
        self.views.verify()
        self.doubted.check(now)
