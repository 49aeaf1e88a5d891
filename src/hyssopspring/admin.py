"""The administration: composition root of ``hyssop-admin``."""

import time

from twisted.internet import defer, task

from .config.accepting import EVALUATE_EVERY, Acceptor
from .core.events import EventKind
from .core.sentinels import NOTHING
from .logs import start_logging
from .net.administration import AdminApi
from .net.clients import make_agent
from .net.control import PageReader
from .net.messages import Signer
from .net.serving import LimitedSite, Router
from .observability import log_failure, make_rng, make_timeline
from .settings import AdminSettings, settings_command, split_address
from .stores import etcd  # noqa: F401 - registers itself
from .stores.hosts import HostListClient
from .stores.keyvalues import find_key_value

LONGEST_FILE = 256 * 1024


class Admin:
    """All parts of one administration, wired.

    Args:
        settings: `AdminSettings`.
        reactor: The reactor.
        wall: Callable that returns the wall clock in seconds.
        seed: Seed of random choices, or `NOTHING` for the system's.
    """

    def __init__(self, settings, reactor, *, wall, seed=NOTHING):
        self.settings = settings
        self.reactor = reactor
        self.timeline = make_timeline(settings, wall)
        self.agent = make_agent(reactor)
        scheme, _, address = settings.platform.partition("+")
        self.store = find_key_value(scheme)(address, self.agent, reactor)
        hosts = HostListClient(settings.host_list, self.agent, reactor)
        pages = PageReader(self.agent, reactor, Signer(settings.peer_secret))
        self.acceptor = Acceptor(
            self.store,
            hosts,
            pages,
            reactor,
            self.timeline,
            make_rng(seed),
        )
        self.api = AdminApi(
            self.acceptor,
            hosts,
            pages,
            reactor,
            self.timeline,
            settings.tokens,
        )
        self.loop = task.LoopingCall(self.acceptor.changed)
        self.loop.clock = reactor
        self.port = NOTHING

    def start(self):
        """Listen, and judge the folder."""
        router = Router(self.note_failure)
        self.api.add_routes(router)
        site = LimitedSite(
            router.resource(), longest=LONGEST_FILE, reactor=self.reactor
        )
        host, port = split_address(self.settings.listen)
        self.port = self.reactor.listenTCP(port, site, interface=host)
        self.acceptor.start()
        self.loop.start(EVALUATE_EVERY)
        self.timeline.note(EventKind.STARTED)

    def note_failure(self, reason):
        """Write the trace of a handler that raised."""
        log_failure(self.settings.host, reason)

    async def stop(self):
        """Stop; what is half done, another administration finishes."""
        self.loop.stop()
        self.acceptor.stop()
        await self.port.stopListening()
        await self.agent.pool.closeCachedConnections()
        self.timeline.note(EventKind.STOPPED)


def run(settings):
    """Run an administration until it is told to stop."""
    from twisted.internet import reactor

    start_logging(settings.log)
    admin = Admin(settings, reactor, wall=time.time)
    admin.start()
    reactor.addSystemEventTrigger(
        "before", "shutdown", lambda: defer.ensureDeferred(admin.stop())
    )
    reactor.run()


main = settings_command("hyssop-admin", AdminSettings, run)
