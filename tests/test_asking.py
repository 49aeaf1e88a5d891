"""Questions between hosts of a region, and the decisions that come back."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from hyssopspring.entry.asking import answer_message, decision_of
from hyssopspring.entry.messages import decode_message, encode_message
from hyssopspring.traffic.decisions import Away, Placed, Refused

DECISIONS = [
    Placed("server", "127.0.0.1:80", 3, 0.25),
    Placed("server", "127.0.0.1:80", 2, 0.5, cold=True),
    Placed("server", "127.0.0.1:80", 2, 0.5, copy_from="127.0.0.2:80"),
    Away("south", 0.4),
    Refused(0.75, 1.5, 4),
]


@pytest.mark.parametrize("decision", DECISIONS)
def test_a_decision_reaches_the_host_that_asked(decision):
    """Requests that were refused are sent to engines that are full.

    The placing host fails to write its refusal, so the asking host waits
    for 80 ms, asks the next one in vain, and decides by what it alone
    knows. Each decision must survive its way between two hosts.
    """
    message = decode_message(encode_message(answer_message(7, decision)))
    assert_that(message.number, Equals(7))
    assert_that(decision_of(message), Equals(decision))
