"""Budgets that hold over all hosts without messages between them."""

from hypothesis import given
from hypothesis import strategies as st

from hyssopspring.traffic.coldrates import CONCURRENT_PLACERS, ColdRates
from hyssopspring.traffic.retries import WindowedRetryBudget

COLD_REQUESTS_PER_SECOND = 6.3
"""Requests that a cold server tolerates in a second for the first users: 2.2 a
second, times 1.5, and 3 more."""


@given(st.lists(st.floats(0.0, 0.2), min_size=1, max_size=120))
def test_concurrent_placers_keep_within_the_cold_bound(gaps):
    """Guards against crashing a cold server while two hosts place.

    The hosts' membership lists differ for a second after a partition or a
    restart. Each host counts independently; all that may place at once must
    stay within the bound together in any second.
    """
    placers = [ColdRates() for _ in range(CONCURRENT_PLACERS)]
    now, sent = 0.0, []
    for gap in gaps:
        now += gap
        for placer in placers:
            if placer.is_allowed("s1", COLD_REQUESTS_PER_SECOND, now):
                placer.count("s1", now)
                sent.append(now)
    for start in sent:
        within = [at for at in sent if start <= at < start + 1.0]
        assert len(within) <= COLD_REQUESTS_PER_SECOND


def test_a_large_cold_bound_is_kept():
    """Guards against a bound above the number of requests that are counted."""
    placers = [ColdRates() for _ in range(CONCURRENT_PLACERS)]
    bound, sent = 1000 * 1.5 + 3.0, 0
    for _ in range(2000):
        for placer in placers:
            if placer.is_allowed("s1", bound, 0.0):
                placer.count("s1", 0.0)
                sent += 1
    assert 0 < sent <= bound


def test_requests_before_the_cold_state_arrives_count():
    """Guards against ignoring requests sent before a server's cold state.

    The server is already cold when its cold state arrives.
    """
    rates = ColdRates()
    rates.count("s1", 0.0)
    rates.count("s1", 0.1)
    assert not rates.is_allowed("s1", COLD_REQUESTS_PER_SECOND, 0.5)
    assert rates.is_allowed("s1", COLD_REQUESTS_PER_SECOND, 2.0)


@given(
    st.lists(
        st.tuples(st.integers(0, 6), st.floats(0.0, 0.3), st.booleans()),
        min_size=1,
        max_size=200,
    )
)
def test_hosts_together_keep_within_the_retry_budget(steps):
    """Guards against an outage that multiplies its own load by retries.

    Seven hosts see most attempts fail and each retries as far as its own
    window allows. The sum of their retries keeps to a fifth of the requests
    and 54 in any ten seconds.
    """
    hosts = [WindowedRetryBudget(0.2, 54.0, 10.0) for _ in range(7)]
    now, requests, repeats = 0.0, [], []
    for host, gap, fails in steps:
        now += gap
        hosts[host].record_request("engine", now)
        requests.append(now)
        if fails and hosts[host].spend("engine", now, 7):
            repeats.append(now)
    for end in repeats:
        inside = sum(end - 10.0 < at <= end for at in repeats)
        asked = sum(end - 10.0 < at <= end for at in requests)
        assert inside <= 0.2 * asked + 54


def test_a_storm_of_failures_on_all_hosts_keeps_within_the_budget():
    """Guards against a retry storm on all hosts at once.

    Every attempt fails on all seven hosts for ten seconds.
    """
    hosts = [WindowedRetryBudget(0.2, 54.0, 10.0) for _ in range(7)]
    repeats = 0
    for step in range(1000):
        host = hosts[step % 7]
        host.record_request("engine", step * 0.01)
        repeats += host.spend("engine", step * 0.01, 7)
    assert 100 < repeats <= 0.2 * 1000 + 54


def test_hosts_that_saw_few_requests_share_the_extra_repeats():
    """Guards against too many retries of a service with few requests."""
    hosts = [WindowedRetryBudget(0.2, 54.0, 10.0) for _ in range(7)]
    repeats = 0
    for host in hosts:
        host.record_request("engine", 0.0)
        repeats += sum(host.spend("engine", 0.0, 7) for _ in range(60))
    assert 30 < repeats <= 54
