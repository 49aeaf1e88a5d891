"""What backend servers say of themselves in their answers."""

from ..core.events import EventKind
from ..core.sentinels import INVALID, NOTHING

__all__ = ["Notices"]

IGNORED_EVERY = 10.0
"""Seconds between two lines on unusable statements of one server."""


class Notices:
    """Take what servers say in their answers.

    Args:
        registry: The `Registry`.
        clock: The runtime's clock.
        timeline: The `Timeline`.
    """

    def __init__(self, registry, clock, timeline):
        self.registry = registry
        self.clock = clock
        self.timeline = timeline
        self.limits = {}
        self.ignored = {}

    def listener(self, server_id, request):
        """Return what takes the `Head` of an answer to a request.

        An answer of a start of the server that is over by then is dropped.

        Args:
            server_id: The server that the request is sent to.
            request: Identifier of the request.
        """
        start = self.registry.start_of(server_id)

        def hear(head):
            if self.registry.start_of(server_id) == start:
                self.hear(server_id, request, head)

        return hear

    def hear(self, server_id, request, head):
        """Take what the answer to a request says."""
        if head.limit is INVALID:
            self.ignore(server_id, request, "limit")
            return
        if head.limit == self.limits.get(server_id, NOTHING):
            return
        self.limits[server_id] = head.limit
        self.timeline.note(
            EventKind.SERVER_LIMITED,
            server=server_id,
            limit="none" if head.limit is NOTHING else head.limit,
            answer_to=request,
        )

    def ignore(self, server_id, request, what):
        """Put an unusable statement on the time line, now and then."""
        now = self.clock.seconds()
        if now - self.ignored.get(server_id, -IGNORED_EVERY) < IGNORED_EVERY:
            return
        self.ignored[server_id] = now
        self.timeline.note(
            EventKind.NOTICE_IGNORED,
            server=server_id,
            what=what,
            answer_to=request,
        )
