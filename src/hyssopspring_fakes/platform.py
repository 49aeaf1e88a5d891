"""Stand-in for the platform: key-value service, host list, directory."""

from base64 import b64decode, b64encode

import click
import msgspec

from hyssopspring.net.serving import (
    LimitedSite,
    Router,
    read_json,
    respond_json,
)
from hyssopspring.settings import split_address

from .running import run_site
from .stores import Store, StoreFaults


class FakePlatform:
    """Serve the platform's interfaces over HTTP.

    Args:
        reactor: The reactor.
        hosts: Entries of the host list, as plain mappings.
    """

    def __init__(self, reactor, hosts=()):
        self.reactor = reactor
        self.store = Store()
        self.hosts = {entry["name"]: dict(entry) for entry in hosts}
        self.directory = {}
        self.watches = []
        self.lost = []
        self.store.listeners.append(self.tell_watches)

    def site(self):
        """Return the site to listen with."""
        router = Router(lambda reason: reason.printTraceback())
        router.add("POST", "/v3/kv/range", self.range)
        router.add("POST", "/v3/kv/txn", self.transact)
        router.add("POST", "/v3/watch", self.watch)
        router.add("GET", "/hosts", self.list_hosts)
        router.add("PUT", "/hosts/", self.put_host)
        router.add("DELETE", "/hosts/", self.delete_host)
        router.add("GET", "/directory", self.list_directory)
        router.add("PUT", "/directory/", self.put_directory)
        router.add("DELETE", "/directory/", self.delete_directory)
        router.add("POST", "/faults", self.set_faults)
        router.add("GET", "/counts", self.counts)
        return LimitedSite(router.resource(), reactor=self.reactor)

    def range(self, request):
        """Answer a range request."""
        query = read_json(request)
        start = b64decode(query["key"]).decode()
        end = query.get("range_end")
        end = b64decode(end).decode() if end else None
        found = [encode_entry(*row) for row in self.store.range(start, end)]
        self.answer(request, self.wrap({"kvs": found}))

    def transact(self, request):
        """Answer a transaction of one compare and one operation."""
        if self.faults.down:
            self.lost.append(request)
            return
        if self.faults.lose_requests:
            self.faults.lose_requests -= 1
            self.lost.append(request)
            return
        body = read_json(request)
        compare = body["compare"][0]
        key = b64decode(compare["key"]).decode()
        put = body["success"][0].get("request_put")
        value = b64decode(put["value"]) if put else None
        revision = int(compare["mod_revision"])
        done = self.store.compare_and_swap(key, value, revision)
        answer = {"succeeded": done}
        if not done:
            known = self.store.current(key)
            found = [encode_entry(key, *known)] if known else []
            answer["responses"] = [{"response_range": {"kvs": found}}]
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            self.lost.append(request)
            return
        self.answer(request, self.wrap(answer))

    def watch(self, request):
        """Hold a watch open."""
        if self.faults.down:
            self.lost.append(request)
            return
        query = read_json(request)["create_request"]
        start = b64decode(query["key"]).decode()
        end = b64decode(query["range_end"]).decode()
        self.store.reads += 1
        watch = (request, start, end)
        self.watches.append(watch)
        request.notifyFinish().addBoth(lambda _: self.watches.remove(watch))
        request.write(b'{"result":{"created":true}}\n')

    def tell_watches(self, key):
        """Send an event to each watch on *key*."""
        if self.faults.down:
            return
        for request, start, end in list(self.watches):
            if start <= key < end:
                line = {"result": {"events": [{"kv": {"key": key}}]}}
                request.write(msgspec.json.encode(line) + b"\n")

    @property
    def faults(self):
        """The store's `StoreFaults`."""
        return self.store.faults

    def wrap(self, answer):
        """Add the header that each answer has."""
        revision = str(self.store.revision)
        return {"header": {"revision": revision}, **answer}

    def answer(self, request, value):
        """Answer now, late, or not at all, as the faults say."""
        if self.faults.down:
            self.lost.append(request)
            return
        self.reactor.callLater(
            self.faults.slow, respond_json, request, 200, value
        )

    def list_hosts(self, request):
        """Answer with the host list."""
        self.answer(request, {"hosts": list(self.hosts.values())})

    def put_host(self, request):
        """Add or change an entry of the host list."""
        name = last_part(request)
        entry = self.hosts.setdefault(name, {"name": name})
        entry.update(read_json(request))
        respond_json(request, 200, entry)

    def delete_host(self, request):
        """Remove an entry of the host list."""
        self.hosts.pop(last_part(request), None)
        respond_json(request, 200, {})

    def list_directory(self, request):
        """Answer with the directory for clients."""
        self.answer(request, {"entries": list(self.directory.values())})

    def put_directory(self, request):
        """Add or change an entry of the directory."""
        self.directory[last_part(request)] = read_json(request)
        self.answer(request, {})

    def delete_directory(self, request):
        """Remove an entry of the directory."""
        self.directory.pop(last_part(request), None)
        self.answer(request, {})

    def set_faults(self, request):
        """Set the fault switches that the body names."""
        for name, value in read_json(request).items():
            self.set_fault(name, value)
        respond_json(request, 200, {})

    def set_fault(self, name, value):
        """Set one switch; going down cuts the open watches."""
        if name not in StoreFaults.__dataclass_fields__:
            raise KeyError(name)
        setattr(self.faults, name, value)
        if name == "down" and value:
            for request, _, _ in list(self.watches):
                request.loseConnection()

    def counts(self, request):
        """Answer with the number of reads and writes so far."""
        respond_json(
            request,
            200,
            {"reads": self.store.reads, "writes": self.store.writes},
        )


def encode_entry(key, value, revision):
    """Encode one ``KeyValue`` message."""
    return {
        "key": b64encode(key.encode()).decode(),
        "value": b64encode(value).decode(),
        "mod_revision": str(revision),
    }


def last_part(request):
    """Return the last part of the request's path."""
    return request.path.rsplit(b"/", 1)[1].decode()


@click.command()
@click.option("--listen", default="127.0.0.1:2379", show_default=True)
@click.option("--hosts", type=click.Path(exists=True), help="YAML file.")
@click.version_option(package_name="hyssopspring")
def main(listen, hosts):
    """Run the stand-in for the platform until stopped."""
    import yaml
    from twisted.internet import reactor

    entries = []
    if hosts:
        with open(hosts, encoding="utf-8") as file:
            entries = yaml.safe_load(file)["hosts"]
    platform = FakePlatform(reactor, entries)
    run_site(reactor, platform.site(), split_address(listen))
