"""Stand-in for a model engine: batches, caches prefixes, streams."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

import click
import msgspec

from hyssopspring.core.hashing import hash_text
from hyssopspring.net.serving import (
    LimitedSite,
    Router,
    header,
    read_json,
    respond,
    respond_error,
    respond_json,
)
from hyssopspring.settings import split_address

from .running import run_site


@dataclass
class EngineModel:
    """How fast the engine is, and what it holds.

    Attributes:
        slots: Requests that it works on at once.
        prefill: Seconds to read a thousand characters of prompt.
        decode: Seconds between two tokens.
        cached: Prompt starts that the cache holds.
        tokens: Tokens of an answer that asks for no number.
        prefix: Characters of a prompt's start that the cache spares.
    """

    slots: int = 8
    prefill: float = 0.02
    decode: float = 0.002
    cached: int = 64
    tokens: int = 16
    prefix: int = 256


@dataclass
class EngineFaults:
    """Switches for faults.

    Attributes:
        refuse: Answer 503 before running anything.
        leaving: Refuse new work as the engine is about to go.
        drop_after: Tokens after which a stream's connection is cut; -1
            for never. Streams can be resumed.
        truncate_after: Tokens after which a stream ends without its end
            mark; -1 for never.
        garbage: Answer what is no JSON.
        swap: Answer with the identifier of another request.
        hang: Take requests and never answer.
        slow: Factor by which everything takes longer than reported.
        report_lag: Seconds by which load reports are late.
    """

    refuse: bool = False
    leaving: bool = False
    drop_after: int = -1
    truncate_after: int = -1
    garbage: bool = False
    swap: bool = False
    hang: bool = False
    slow: float = 1.0
    report_lag: float = 0.0


@dataclass
class Job:
    """One request that the engine has."""

    id: str
    request: object
    body: dict
    wanted: int
    chat: bool
    priority: int
    made: int = 0
    sent: int = 0
    done: bool = False
    cancelled: bool = False
    dropped: bool = False
    words: list = field(default_factory=list)


class FakeEngine:
    """Serve the chat-completions conventions from one accelerator.

    Args:
        reactor: The reactor.
        name: Name of the engine.
        model: `EngineModel`.

    Attributes:
        ended_by: Start of a prompt under which the engine ends, or "".
        ended: Whether it has ended; it resets all connections then.
        port: Its listening port.
    """

    def __init__(self, reactor, name, model=None):
        self.reactor = reactor
        self.name = name
        self.model = model or EngineModel()
        self.faults = EngineFaults()
        self.incarnation = f"{name}-{id(self):x}"
        self.sequence = 0
        self.running = {}
        self.waiting = deque()
        self.jobs = OrderedDict()
        self.prefixes = OrderedDict()
        self.ran = []
        self.reports = deque()
        self.busy_seconds = 0.0
        self.ended_by = ""
        self.ended = False
        self.port = None

    def site(self):
        """Return the site to listen with."""
        router = Router(lambda reason: reason.printTraceback())
        router.add("POST", "/v1/completions", self.complete)
        router.add("POST", "/v1/chat/completions", self.complete)
        router.add("GET", "/v1/streams/", self.resume)
        router.add("DELETE", "/v1/streams/", self.cancel)
        router.add("GET", "/load", self.load)
        router.add("GET", "/ran", self.list_ran)
        router.add("POST", "/faults", self.set_faults)
        return LimitedSite(router.resource(), reactor=self.reactor)

    def complete(self, request):
        """Take a request."""
        if self.ended:
            request.transport.abortConnection()
            return
        if self.faults.refuse or self.faults.leaving:
            code = "leaving" if self.faults.leaving else "refused"
            headers = [("hyssop-not-run", code)]
            respond_error(request, 503, code, "not run", headers=headers)
            return
        body = read_json(request)
        job = Job(
            id=header(request, "x-request-id"),
            request=request,
            body=body,
            wanted=int(body.get("max_tokens") or self.model.tokens),
            chat=request.path.endswith(b"chat/completions"),
            priority=int(header(request, "x-priority", "1")),
        )
        self.ran.append(job.id)
        self.jobs[job.id] = job
        while len(self.jobs) > 4096:
            self.jobs.popitem(last=False)
        request.notifyFinish().addErrback(lambda _: None)
        if self.ended_by and prompt_text(body).startswith(self.ended_by):
            self.ended = True
            self.port.stopListening()
            request.transport.abortConnection()
            return
        if self.faults.hang:
            return
        self.admit(job)

    def admit(self, job):
        """Start the job, or queue it by priority."""
        if len(self.running) < self.model.slots:
            self.start(job)
            return
        self.waiting.append(job)
        ordered = sorted(self.waiting, key=lambda waiter: waiter.priority)
        self.waiting = deque(ordered)

    def start(self, job):
        """Read the prompt, then make tokens."""
        self.running[job.id] = job
        prompt = prompt_text(job.body)
        size = self.model.prefix
        start = hash_text(prompt[:size])
        length = len(prompt)
        if start in self.prefixes:
            length = max(0, length - size)
        self.prefixes[start] = True
        self.prefixes.move_to_end(start)
        while len(self.prefixes) > self.model.cached:
            self.prefixes.popitem(last=False)
        delay = self.model.prefill * (length / 1000 + 0.1)
        self.later(delay, self.make, job)

    def later(self, delay, call, *arguments):
        """Call later, by the engine's true speed."""
        delay *= self.faults.slow
        self.busy_seconds += delay
        self.reactor.callLater(delay, call, *arguments)

    def make(self, job):
        """Make one token."""
        if job.cancelled:
            self.end(job)
            return
        job.words.append(f"{job.id[-6:]}.{job.made} ")
        job.made += 1
        if job.body.get("stream"):
            self.send(job)
        if job.made < job.wanted:
            self.later(self.model.decode, self.make, job)
            return
        self.end(job)
        job.done = True
        self.finish(job)

    def end(self, job):
        """Free the slot and start the next job."""
        self.running.pop(job.id, None)
        while self.waiting and len(self.running) < self.model.slots:
            waiter = self.waiting.popleft()
            if not waiter.cancelled:
                self.start(waiter)

    def send(self, job):
        """Send the tokens of a stream that are not sent yet."""
        request = job.request
        if request is None or request._disconnected or request.finished:
            return
        if job.sent == 0 and not request.startedWriting:
            self.open_stream(job)
        while job.sent < job.made:
            if job.sent == self.faults.drop_after and not job.dropped:
                job.dropped = True
                job.request = None
                request.loseConnection()
                return
            if job.sent == self.faults.truncate_after:
                job.request = None
                request.finish()
                return
            request.write(self.event(job, job.sent))
            job.sent += 1

    def open_stream(self, job):
        """Send the headers of a stream."""
        self.set_headers(job.request, job)
        job.request.setHeader(b"content-type", b"text/event-stream")

    def set_headers(self, request, job):
        """Set the headers that name the request and the load."""
        echoed = "someone-else" if self.faults.swap else job.id
        request.setHeader(b"x-request-id", echoed.encode())
        report = self.report()
        request.setHeader(b"x-load", msgspec.json.encode(report))

    def event(self, job, index):
        """Return one event of a stream."""
        text = job.words[index]
        choice = {"index": 0, "finish_reason": None}
        if job.chat:
            choice["delta"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        payload = self.envelope(job, [choice], chunk=True)
        data = msgspec.json.encode(payload)
        return b"id: %d\ndata: %s\n\n" % (index, data)

    def envelope(self, job, choices, *, chunk):
        """Return the mapping round the choices of an answer."""
        kind = "text_completion"
        if job.chat:
            kind = "chat.completion.chunk" if chunk else "chat.completion"
        return {
            "id": job.id,
            "object": kind,
            "created": 0,
            "model": job.body.get("model", ""),
            "choices": choices,
        }

    def finish(self, job):
        """End a stream, or send the whole answer."""
        request = job.request
        if request is None or request._disconnected or request.finished:
            return
        if job.body.get("stream"):
            request.write(b"data: [DONE]\n\n")
            request.finish()
            return
        self.set_headers(request, job)
        if self.faults.garbage:
            respond(request, 200, b"<html>no json")
            return
        text = "".join(job.words)
        choice = {"index": 0, "finish_reason": "stop"}
        if job.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        answer = self.envelope(job, [choice], chunk=False)
        answer["usage"] = {
            "prompt_tokens": len(prompt_text(job.body)) // 4,
            "completion_tokens": job.made,
            "total_tokens": len(prompt_text(job.body)) // 4 + job.made,
        }
        respond_json(request, 200, answer)

    def resume(self, request):
        """Go on with a stream after the event that the caller has."""
        job = self.jobs.get(request.path.rsplit(b"/", 1)[1].decode())
        if job is None or job.cancelled:
            respond_error(request, 404, "not_found", "no such stream")
            return
        request.notifyFinish().addErrback(lambda _: None)
        job.request = request
        job.sent = int(header(request, "last-event-id", "-1")) + 1
        self.open_stream(job)
        self.send(job)
        if job.done:
            self.finish(job)

    def cancel(self, request):
        """Stop work on a request."""
        job = self.jobs.get(request.path.rsplit(b"/", 1)[1].decode())
        if job is not None:
            job.cancelled = True
        respond_json(request, 200, {})

    def report(self):
        """Return a load report, as late as the faults say."""
        self.sequence += 1
        now = self.reactor.seconds()
        report = {
            "incarnation": self.incarnation,
            "sequence": self.sequence,
            "running": len(self.running),
            "waiting": len(self.waiting),
            "slots": self.model.slots,
            "leaving": self.faults.leaving,
        }
        self.reports.append((now, report))
        lag = self.faults.report_lag
        while len(self.reports) > 1 and self.reports[1][0] <= now - lag:
            self.reports.popleft()
        return self.reports[0][1] if lag else report

    def load(self, request):
        """Answer with a load report."""
        respond_json(request, 200, self.report())

    def list_ran(self, request):
        """Answer with the identifiers of all requests taken."""
        respond_json(request, 200, {"ran": self.ran})

    def set_faults(self, request):
        """Set the fault switches that the body names."""
        for name, value in read_json(request).items():
            if name not in EngineFaults.__dataclass_fields__:
                raise KeyError(name)
            setattr(self.faults, name, value)
        respond_json(request, 200, {})


def prompt_text(body):
    """Return the prompt of a completion or a chat as one text."""
    if "messages" in body:
        return "".join(str(part.get("content")) for part in body["messages"])
    return str(body.get("prompt", ""))


@click.command()
@click.option("--listen", default="127.0.0.1:9000", show_default=True)
@click.option("--name", default="engine", show_default=True)
@click.option("--slots", default=8, show_default=True)
@click.option("--decode", default=0.002, show_default=True)
@click.option("--prefill", default=0.02, show_default=True)
@click.version_option(package_name="hyssopspring")
def main(listen, name, slots, decode, prefill):
    """Run the stand-in for a model engine until stopped."""
    from twisted.internet import reactor

    model = EngineModel(slots=slots, decode=decode, prefill=prefill)
    engine = FakeEngine(reactor, name, model)
    run_site(reactor, engine.site(), split_address(listen))
