"""The retry budget holds over all hosts, whatever they see of each other."""

from types import SimpleNamespace

from networks import Network
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan, LessThan

from hyssopspring.entry.exchanges import Exchange
from hyssopspring.traffic.retries import WindowedRetryBudget

EXTRA = 54
"""Retries allowed in a window in addition to the ratio, over all hosts."""

HOSTS_IN_REGION = 3


class FailingService:
    """Count the retries of hosts at a service of which every attempt fails.

    Args:
        network: The `Network` of the hosts.
    """

    def __init__(self, network):
        self.network = network
        self.budgets = {}

    def retry_all(self):
        """Let each host retry until its budget ends; return how often."""
        return sum(map(self.retry_at, self.network.hosts.values()))

    def retry_at(self, host):
        """Let one host retry until its budget ends; return how often."""
        budget = self.budgets.get(host)
        if budget is None:
            budget = self.budgets[host] = WindowedRetryBudget(0.2, EXTRA, 10.0)
        state = SimpleNamespace(
            clock=self.network.clock, members=host.members, retries=budget
        )
        exchange = SimpleNamespace(state=state, service="plain")
        count = 0
        while Exchange.spend_retry(exchange):
            count += 1
        return count


def test_hosts_that_are_cut_off_share_the_extra_retries():
    """Guards against a budget for each host that sees no other one."""
    network = Network(HOSTS_IN_REGION)
    network.run(12.0)
    network.cut.update(list(network.hosts.values())[::2])
    network.run(9.0)
    retries = FailingService(network).retry_all()
    assert_that(retries, GreaterThan(EXTRA // 2))
    assert_that(retries, LessThan(EXTRA + 1))


def test_hosts_that_start_together_share_the_extra_retries():
    """Guards against a budget for each host that has seen no other one yet."""
    network = Network(HOSTS_IN_REGION)
    retries = FailingService(network).retry_all()
    assert_that(retries, GreaterThan(0))
    assert_that(retries, LessThan(EXTRA + 1))


def test_a_host_that_has_read_of_no_other_one_uses_no_extra_retries():
    """Guards against a full budget before the list of hosts is read."""
    network = Network(HOSTS_IN_REGION)
    for host in network.hosts.values():
        host.members.others.clear()
    assert_that(FailingService(network).retry_all(), LessThan(1))
