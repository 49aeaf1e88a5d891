"""A store that comes back from a copy: lost writes, revisions given again."""

import pytest_twisted
from entry_hosts import configuration
from testtools.assertions import assert_that
from testtools.matchers import Equals
from twisted.internet import reactor, task

APPLY_SECONDS = 4.0
"""Time limit for a change to be in force at every host."""


def versions(hosts):
    """Return the versions that the hosts have in force."""
    return {one.keeper.version for one in hosts.processes.values()}


async def lose(hosts, revisions, version):
    """Have the store lose its newest writes, a configuration among them.

    Args:
        hosts: The `Hosts`.
        revisions: Number of writes that are lost.
        version: Version of the configuration that is lost; it is in force.
    """
    copy = hosts.store.copy()
    for number in range(revisions - 1):
        hosts.store.put_json("servers/other", {"seq": number})
    hosts.store.put_json("op/config", configuration(version))
    await hosts.until(lambda: versions(hosts) == {version})
    hosts.store.restore(copy)


@pytest_twisted.ensureDeferred
async def test_a_change_after_a_restore_is_in_force_in_time(hosts):
    """Hosts ignore each change whose revision they have seen before."""
    await hosts.with_resting_host()
    await lose(hosts, 62, version=5)
    await task.deferLater(reactor, 1.0)
    assert_that(versions(hosts), Equals({5}))
    hosts.store.put_json("op/config", configuration(5))
    await task.deferLater(reactor, 1.0)
    hosts.store.put_json("op/config", configuration(6))
    await hosts.until(lambda: versions(hosts) == {6}, within=APPLY_SECONDS)
