"""Stand-in of a backend server behind an entry host, for tests."""

import itertools
import json
from dataclasses import dataclass

from twisted.internet import task

from .endless import Endless, send_endless
from .listening import cut_connections, listen_http

__all__ = ["FakeBackend", "Said"]

LARGE_BODY_BYTES = 7_000_000
"""Size of a plain answer at a path that ends with ``/large``: more than the
system buffers for a connection, so that a part stays in the host's process."""


@dataclass(frozen=True, slots=True)
class Said:
    """What a server said of itself in an answer.

    Attributes:
        at: Time of the answer.
        peer: Address of the host that got it.
        headers: What it said, by header.
    """

    at: float
    peer: str
    headers: dict


class UnframedBody:
    """Body of a response that ends with its connection.

    Args:
        request: The request.
    """

    def __init__(self, request):
        self.write = request.transport.write
        self.finish = self.loseConnection = request.transport.loseConnection


class FakeBackend:
    """Answer plain calls and streams, and remember what ran.

    Args:
        reactor: The reactor.
        name: Its identifier.
        address: IP address to listen at.

    Attributes:
        ran: Identifier of each request that ran.
        seen: Headers of each request that arrived, by lower-case name.
        arrived: Time and sending address of each of these.
        told: Headers that it adds to each of its answers, by name.
        said: `Said` of each answer to which headers were added.
        mood: How it behaves: "well", "silent", "cut", "error", "full",
            "reset", "foreign" (the answer is to another request) or
            "endless".
        endless: Iterator over the `Endless` of its responses in that mood.
        paused_until: Time until which it writes nothing but, for every other
            stream, the head.
        senders: Addresses of the hosts that sent a request, by identifier.
        crashed_by: Body of a request under which the server ends as soon
            as it begins to run it, or None.
        crashing_parts: Parts of prompts that make the server end as soon as
            it begins an answer, unless they are the last part.
        on_prompt: Called with the sending address and the shared parts of
            each prompt that it takes.
        crash_after: Seconds from then to its end.
        crash_output: What it writes of a stream before it ends, with neither
            length nor chunks, or b"".
        crash_closes: Whether it closes that connection in order as it ends.
        cold_until: Time until which its health response says that it is cold.
        checked: Number of its health responses.
        born: Time of its start as its report states it; `None` if it offers
            no report.
        unframed: Whether its streams have neither length nor chunks and end
            with their connection.
        version: Version of its software, which its events state, or "".
        events: Events of a stream.
        cut_after: Events after which a stream is cut, in the mood "cut".
        script: `StreamScript` of its streams, or None.
        gap: Seconds between events.
        silence: Seconds for which it falls silent in each answer: before the
            event `silent_before`, before the first event of a stream that is
            resumed there, or before the head of a plain answer.
        silent_before: Number of that event.
        kept_for: Seconds for which it announces to keep idle connections;
            0 for no announcement.
        stopped: Identifier of each request whose caller has gone.
    """

    def __init__(self, reactor, name, address):
        self.reactor = reactor
        self.name = name
        self.address = address
        self.ran = []
        self.seen = []
        self.arrived = []
        self.told = {}
        self.said = []
        self.stopped = []
        self.mood = "well"
        self.endless = itertools.cycle(Endless)
        self.endless_report = None
        self.paused_until = 0.0
        self.senders = {}
        self.cold_until = 0.0
        self.checked = 0
        self.born = 0
        self.unframed = False
        self.version = ""
        self.events = 4
        self.cut_after = 2
        self.script = None
        self.gap = 0.0
        self.silence = 0.0
        self.silent_before = 2
        self.kept_for = 0
        self.crashed_by = None
        self.crashing_parts = frozenset()
        self.on_prompt = lambda peer, parts: None
        self.crash_after = 0.01
        self.crash_output = b""
        self.crash_closes = False
        self.up = False
        self.port = None

    def start(self):
        """Listen; return ``ip:port``."""
        self.up = True
        self.port = listen_http(self.reactor, self.address, self.serve)
        return f"{self.address}:{self.port.getHost().port}"

    def serve(self, request):
        """Answer one request."""
        headers = {
            name.lower(): values[0]
            for name, values in request.requestHeaders.getAllRawHeaders()
        }
        self.seen.append(headers)
        peer = request.transport.getPeer().host
        if request.path == b"/v1/report":
            if self.endless_report is not None:
                send_endless(self.reactor, request, {}, self.endless_report)
                return
            status = 404 if self.born is None else 200
            report = json.dumps({"born": self.born}).encode()
            self.answer(request, status, report, {})
            return
        if request.path == b"/health":
            self.answer_health(request)
            return
        self.arrived.append((self.reactor.seconds(), peer))
        identifier = headers.get(b"x-request-attempt-id", b"")
        if headers.get(b"x-expect-instance") != self.name.encode():
            self.answer(request, 421, b"", {b"x-instance-id": b"other"})
            return
        if self.told:
            now = self.reactor.seconds()
            self.said.append(Said(now, peer, dict(self.told)))
        for name, value in self.told.items():
            request.setHeader(name, value)
        if self.mood == "full":
            self.answer(request, 503, b"", {b"x-not-executed": b"1"})
            return
        self.ran.append(identifier.decode())
        self.senders.setdefault(identifier.decode(), []).append(peer)
        request.notifyFinish().addErrback(
            lambda _: self.stopped.append(identifier.decode())
        )
        if b"x-prompt-prefix" in headers:
            self.on_prompt(peer, parts_of(request))
        if self.is_crashed_by(request):
            if self.crash_output:
                self.begin_stream(request, identifier)
            self.reactor.callLater(self.crash_after, self.crash_under, request)
            return
        self.run(request, headers, identifier)

    def answer_health(self, request):
        """Say which server this is, and for how long it stays cold."""
        self.checked += 1
        headers = {b"x-instance-id": self.name.encode()}
        left = self.cold_until - self.reactor.seconds()
        if left > 0:
            headers[b"x-cold-ms"] = b"%d" % (left * 1000)
        self.answer(request, 200, b"", headers)

    def begin_stream(self, request, identifier):
        """Write the head and the beginning of a stream that never ends."""
        lines = [
            b"HTTP/1.1 200 OK",
            b"content-type: text/event-stream",
            b"x-request-attempt-id: " + identifier,
            b"x-response-stamp: stamp-" + self.name.encode(),
        ]
        head = b"\r\n".join(lines) + b"\r\n\r\n"
        request.transport.write(head + self.crash_output)

    def crash_under(self, request):
        """End under a request."""
        if self.crash_closes and not request._disconnected:
            request.transport.loseConnection()
            self.reactor.callLater(0, self.crash)
            return
        self.crash()

    def is_crashed_by(self, request):
        """Whether the server ends when it begins to run *request*."""
        request.content.seek(0)
        if request.content.read() == self.crashed_by:
            return True
        return not self.crashing_parts.isdisjoint(parts_of(request))

    def crash(self):
        """End without a word: nobody listens any more, all is reset."""
        if self.up:
            self.up = False
            self.port.stopListening()
            cut_connections(self.port)

    def restart(self, *, born, version):
        """Go on at the same address as another start, of another version."""
        cut_connections(self.port)
        self.born, self.version = born, version

    def run(self, request, headers, identifier):
        """Run one request."""
        has_head = b"x-token-usage" in headers and len(self.ran) % 2
        if not has_head and self.is_paused(
            self.run, request, headers, identifier
        ):
            return
        if self.mood == "silent":
            return
        if self.mood == "reset":
            request.transport.abortConnection()
            return
        if self.mood == "foreign":
            identifier = b"another"
        stamp = {
            b"x-request-attempt-id": identifier,
            b"x-response-stamp": b"stamp-" + self.name.encode(),
        }
        if self.mood == "endless":
            send_endless(self.reactor, request, stamp, next(self.endless))
        elif self.mood == "error":
            self.answer(request, 500, b"failed", stamp)
        elif b"x-token-usage" in headers:
            first = int(headers.get(b"last-event-id", b"-1")) + 1
            self.stream(request, stamp, first)
        else:
            body = b"whole " + request.uri
            if request.path.endswith(b"/large"):
                body = body.ljust(LARGE_BODY_BYTES)
            self.after_silence(self.answer, request, 200, body, stamp)

    def is_paused(self, function, request, *args):
        """Return whether it pauses; it calls *function* afterwards."""
        left = self.paused_until - self.reactor.seconds()
        if left <= 0:
            return False

        def resume():
            if not request._disconnected:
                function(request, *args)

        task.deferLater(self.reactor, left, resume)
        return True

    def stream(self, request, stamp, first):
        """Send the events of a stream, one by one."""
        if self.script is not None:
            transport = request.transport
            transport.write(self.script.response(stamp, first))
            self.script.finish(transport)
            return
        headers = {**stamp, b"content-type": b"text/event-stream"}
        if self.unframed:
            lines = [b"HTTP/1.1 200 OK"]
            lines += [b"%s: %s" % row for row in headers.items()]
            request.transport.write(b"\r\n".join(lines) + b"\r\n\r\n")
            self.next_event(request, first, UnframedBody(request))
            return
        for name, value in headers.items():
            request.setHeader(name, value)
        if first >= self.silent_before:
            self.after_silence(self.next_event, request, first, request)
        else:
            self.next_event(request, first, request)

    def next_event(self, request, number, body):
        """Send one event and go on with the next."""
        if request._disconnected:
            return
        if self.is_paused(self.next_event, request, number, body):
            body.write(b"")
            return
        if self.mood == "cut" and number >= self.cut_after:
            body.write(b"id: %d\ndata: a part of" % number)
            body.loseConnection()
            return
        if number >= self.events:
            body.finish()
            return
        by = f" of {self.version}" if self.version else ""
        text = f"id: {number}\ndata: event {number}{by}\n\n"
        body.write(text.encode())
        go_on = (self.next_event, request, number + 1, body)
        if number + 1 == self.silent_before:
            self.after_silence(*go_on)
        else:
            task.deferLater(self.reactor, self.gap, *go_on)

    def after_silence(self, call, *arguments):
        """Call a function after `silence`, or at once without one."""
        if self.silence:
            self.reactor.callLater(self.silence, call, *arguments)
        else:
            call(*arguments)

    def answer(self, request, status, body, headers):
        """Answer, unless the caller has gone."""
        if request._disconnected:
            return
        request.setResponseCode(status)
        for name, value in headers.items():
            request.setHeader(name, value)
        if self.kept_for:
            request.setHeader(b"keep-alive", b"timeout=%d" % self.kept_for)
        request.setHeader(b"content-length", b"%d" % len(body))
        request.write(body)
        request.finish()

    async def stop(self):
        """Stop listening."""
        if self.up:
            self.up = False
            await self.port.stopListening()


def parts_of(request):
    """Return the parts of a request's prompt but the last."""
    stated = request.getHeader(b"x-prompt-prefix") or b""
    parts = [one.split(b":")[0].decode() for one in stated.split(b",")]
    return parts[:-1]
