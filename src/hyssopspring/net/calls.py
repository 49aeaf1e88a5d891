"""One call in progress, from its acceptance to the end of its response."""

from ..core.outcomes import Answered, NotRun, Reason, Unknown
from .inprogress import Wait

__all__ = ["Call"]


class Call:
    """Run one call and respond with its outcome.

    Args:
        dispatcher: The `Dispatcher`.
        request: The `Request`.
        sink: `Sink` of the response.
        on_finished: Called with the outcome once the response is written.
    """

    def __init__(self, dispatcher, request, sink, on_finished):
        self.dispatcher = dispatcher
        self.request = request
        self.sink = sink
        self.on_finished = on_finished

    async def run(self, execute):
        """Execute the call, and end it if its caller or its host leaves.

        Args:
            execute: Coroutine function that returns the outcome.
        """
        http_request = self.sink.request
        http_request.notifyFinish().addErrback(
            lambda _: self.dispatcher.cancel_request(self.request.id)
        )
        http_request.tracked.id = self.request.id
        http_request.tracked.end = self.end
        self.finish(await execute())

    def finish(self, outcome):
        """Respond with *outcome*, unless a response has been written."""
        if self.sink.finished:
            return
        self.sink.note_wait(Wait.DELIVERY)
        if isinstance(outcome, Answered):
            self.sink.finish()
        else:
            self.sink.fail(outcome)
        self.on_finished(outcome)

    def end(self):
        """Respond at once, since the host ends.

        An attempt that is cancelled finishes the call with its outcome. Any
        other call is being admitted, or checked after an attempt.
        """
        identifier = self.request.id
        self.dispatcher.cancel_request(identifier)
        if identifier in self.dispatcher.attempted:
            self.finish(Unknown(Reason.LEAVING))
        else:
            self.finish(NotRun(Reason.LEAVING))
