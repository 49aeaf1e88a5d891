"""Composition root and command of ``hyssop-admin``."""

import time

from twisted.internet import task

from .config.reconciler import RECONCILE_INTERVAL_SECONDS, Reconciler
from .core.events import EventKind
from .core.sentinels import NOTHING
from .logs import start_logging
from .net.administration import AdminApi, end_request
from .net.allocation import map_large_blocks
from .net.channels import Listeners
from .net.clients import make_agent
from .net.control import ControlClient
from .net.draining import Drain
from .net.inprogress import InProgress
from .net.messages import Signer
from .net.serving import LimitedSite, Router
from .observability import log_failure, make_rng, make_timeline
from .settings import AdminSettings, settings_command, split_address
from .signals import StopSignals
from .stores import etcd  # noqa: F401 - registers the etcd client
from .stores.hosts import HostListClient
from .stores.keyvalues import find_client

MAX_FILE_BYTES = 256 * 1024
"""Largest request body, and so the largest configuration file."""


class Admin:
    """Create and run the components of one admin server.

    Args:
        settings: `AdminSettings`.
        reactor: The reactor.
        wall: Callable that returns the wall-clock time in seconds.
        seed: Seed of the random number generator, or `NOTHING` for one
            from the operating system.

    Attributes:
        loop: Periodic validation of the configuration folder.
        listeners: The `Listeners` for operators.
    """

    def __init__(self, settings, reactor, *, wall, seed=NOTHING):
        self.settings = settings
        self.reactor = reactor
        self.timeline = make_timeline(settings, wall)
        self.agent = make_agent(reactor)
        self.in_progress = InProgress(reactor, end_request)
        self.drain = Drain(
            reactor, settings.stop_seconds, self.in_progress, self.timeline
        )
        self.listeners = Listeners(
            reactor, settings.client_limits(), self.timeline
        )
        scheme, _, address = settings.platform.partition("+")
        self.store = find_client(scheme)(address, self.agent, reactor)
        hosts = HostListClient(settings.host_list, self.agent, reactor)
        control_client = ControlClient(
            self.agent, reactor, Signer(settings.peer_secret)
        )
        self.reconciler = Reconciler(
            self.store,
            hosts,
            control_client,
            reactor,
            self.timeline,
            make_rng(seed),
        )
        self.api = AdminApi(
            self.reconciler,
            hosts,
            control_client,
            reactor,
            self.timeline,
            settings.tokens,
            self.drain,
        )
        self.loop = task.LoopingCall(self.reconciler.schedule)
        self.loop.clock = reactor

    def start(self):
        """Start listening and start validating the configuration folder."""
        router = Router(self.report_failure)
        self.api.add_routes(router)
        site = LimitedSite(
            router.resource(),
            max_request_bytes=MAX_FILE_BYTES,
            reactor=self.reactor,
            in_progress=self.in_progress,
            account=self.listeners.account,
        )
        host, port = split_address(self.settings.listen)
        listening = self.reactor.listenTCP(port, site, interface=host)
        self.listeners.add(listening, site)
        self.reconciler.start()
        self.loop.start(RECONCILE_INTERVAL_SECONDS)
        self.timeline.note(EventKind.STARTED)

    def report_failure(self, reason):
        """Log the traceback of a handler that raised.

        Args:
            reason: The `Failure`.
        """
        log_failure(self.settings.host, reason)

    async def stop(self):
        """Stop the server once every request in progress is answered.

        New requests are refused. A configuration change that is not complete
        as `stop_seconds` are nearly over is abandoned; another admin server
        completes it.
        """
        if self.drain.leaving:
            return
        self.timeline.note(EventKind.STOPPING, active=len(self.in_progress))
        self.drain.begin()
        self.listeners.announce()
        ended = await self.drain.end_requests(
            self.listeners, self.report_failure
        )
        self.timeline.note(
            EventKind.STOPPED,
            active=ended,
            unanswered=len(self.in_progress),
            unsent_bytes=self.listeners.unsent_bytes,
        )
        self.loop.stop()
        self.reconciler.stop()
        self.listeners.abort()
        await self.agent.pool.closeCachedConnections()


def run(settings):
    """Run an admin server until the process receives a stop signal."""
    from twisted.internet import reactor

    map_large_blocks()
    start_logging(settings.log)
    admin = Admin(settings, reactor, wall=time.time)
    signals = StopSignals(
        reactor,
        admin.stop,
        timeline=admin.timeline,
        on_failure=admin.report_failure,
    )
    signals.install()
    admin.start()
    reactor.run(installSignalHandlers=False)


main = settings_command("hyssop-admin", AdminSettings, run)
