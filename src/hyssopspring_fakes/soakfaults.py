"""What a soak does to hosts, by kind of fault."""

import random
import signal
from functools import partial

from twisted.internet import defer

from .soakfleet import STOP_SECONDS
from .soakplan import Fault

__all__ = ["FAULTS"]

REWRITE_WITHIN = 1.8
"""Most seconds after a restore in which what was lost is written again."""

RELEASE_AROUND = 0.3
"""Most seconds between a kill of all hosts and the release beside it."""

FAULTS = {}
"""Coroutine function that does a fault to a host, by `Fault`."""


def fault(kind):
    """Register what does *kind* to a host and undoes it.

    It is called with the `Soak`, the `HostProcess` and the seconds.
    """

    def register(function):
        FAULTS[kind] = function
        return function

    return register


@fault(Fault.KILL)
async def kill(soak, host, seconds):
    """Kill a process and start it again."""
    if host.running:
        await host.kill()
        await soak.sleep(seconds)
        soak.restart(host)


@fault(Fault.KILL_ALL)
async def kill_all(soak, host, seconds):
    """Kill all processes beside a release, and start them again together."""
    rng = random.Random(f"{soak.seed} {seconds}")
    in_place = rng.choice((True, False, None))
    if in_place is not None:
        at = rng.uniform(0.0, 2 * RELEASE_AROUND)
        soak.reactor.callLater(at, soak.unify_servers, in_place)
    await soak.sleep(RELEASE_AROUND)
    hosts = soak.fleet.hosts.values()
    await defer.gatherResults([one.kill() for one in hosts])
    await soak.sleep(seconds)
    for one in hosts:
        soak.restart(one)


@fault(Fault.STOP)
async def stop(soak, host, seconds):
    """Tell a process to stop, and start it again once it has ended."""
    if host.running:
        await host.stop()
        soak.restart(host)


async def stop_then(number, soak, host, seconds):
    """Stop a process, and send it a signal unless it has ended before."""
    life, ended = host.current, defer.ensureDeferred(stop(soak, host, 0.0))
    await soak.sleep(seconds)
    if host.current is life:
        host.send_signal(number)
    await ended


FAULTS[Fault.STOP_TWICE] = partial(stop_then, signal.SIGTERM)
FAULTS[Fault.STOP_INTERRUPT] = partial(stop_then, signal.SIGINT)
FAULTS[Fault.STOP_RELOAD] = partial(stop_then, signal.SIGHUP)


@fault(Fault.INTERRUPT)
async def interrupt(soak, host, seconds):
    """Interrupt a process, and start it again once it has ended."""
    if host.running:
        await host.end(signal.SIGINT)
        soak.restart(host)


@fault(Fault.STOP_FREEZE)
async def stop_freeze(soak, host, seconds):
    """Suspend a process that stops."""
    life, ended = host.current, defer.ensureDeferred(stop(soak, host, 0.0))
    # Most processes end early in the time allowed.
    await soak.sleep(soak.rng.random() ** 2 * STOP_SECONDS)
    if host.current is life:
        await freeze(soak, host, seconds)
    await ended


@fault(Fault.STOP_STARTING)
async def stop_starting(soak, host, seconds):
    """Stop a process, and the next one while it starts."""
    await stop(soak, host, 0.0)
    await soak.sleep(seconds)
    await stop(soak, host, 0.0)


@fault(Fault.STOP_CUT)
async def stop_cut(soak, host, seconds):
    """Stop a process whose way to the store is cut."""
    host.proxy.silence()
    host.proxy.cut = True
    await soak.sleep(seconds)
    await stop(soak, host, 0.0)
    host.proxy.cut = False


@fault(Fault.STOP_REGION)
async def stop_region(soak, host, seconds):
    """Stop the hosts of a region, one right after the other."""
    await soak.sleep(seconds * int(host.name.rpartition("-")[2]))
    await stop(soak, host, 0.0)


@fault(Fault.STOP_CHANGE)
async def stop_change(soak, host, seconds):
    """Change the configuration beside a stop."""
    ended = defer.ensureDeferred(stop(soak, host, 0.0))
    await soak.sleep(seconds)
    soak.write_version()
    await ended


@fault(Fault.FREEZE)
async def freeze(soak, host, seconds):
    """Suspend a process."""
    life = host.life
    host.send_signal(signal.SIGSTOP)
    await soak.sleep(seconds)
    if host.life == life:
        host.send_signal(signal.SIGCONT)


@fault(Fault.RELOAD)
async def reload(soak, host, seconds):
    """Tell a process that its settings file has changed."""
    host.send_signal(signal.SIGHUP)


@fault(Fault.SILENCE)
async def silence(soak, host, seconds):
    """Let the open connections to the store pass nothing any more."""
    host.proxy.silence()


@fault(Fault.SILENCE_SOME)
async def silence_some(soak, host, seconds):
    """Let half of the open connections pass nothing any more."""
    host.proxy.silence(lambda asked: soak.rng.random() < 0.5)


@fault(Fault.MUTE)
async def mute(soak, host, seconds):
    """Lose the next answers of the store on each open connection."""
    host.proxy.mute()


@fault(Fault.CUT)
async def cut(soak, host, seconds):
    """Cut the way to the store; open connections stay silent."""
    host.proxy.silence()
    host.proxy.cut = True
    await soak.sleep(seconds)
    host.proxy.cut = False


@fault(Fault.RESET)
async def reset(soak, host, seconds):
    """Reset the connections to the store."""
    host.proxy.reset()


@fault(Fault.SLOW)
async def slow(soak, host, seconds):
    """Delay what passes between host and store."""
    host.proxy.delay = 0.1
    await soak.sleep(seconds)
    host.proxy.delay = 0.0


@fault(Fault.STORE_DOWN)
async def store_down(soak, host, seconds):
    """Let the store answer nothing."""
    soak.fleet.store.down = True
    await soak.sleep(seconds)
    soak.fleet.store.down = False


@fault(Fault.FORGET)
async def forget(soak, host, seconds):
    """Let watches hear nothing, then drop the history."""
    soak.fleet.store.deaf = True
    await soak.sleep(seconds)
    soak.fleet.store.deaf = False
    soak.fleet.store.forget()


@fault(Fault.RESTORE)
async def restore(soak, host, seconds):
    """Let the store come back from an older copy; write again what is lost."""
    store = soak.fleet.store
    store.down = True
    await soak.sleep(seconds)
    store.restore(soak.rng.choice(soak.copies))
    store.down = False
    await soak.sleep(soak.rng.uniform(0.0, REWRITE_WITHIN))
    store.write_again(("op/", "servers/"))
