"""Properties of attempt plans, for random fleets and outcomes."""

import random

import hypothesis.strategies as st
from hypothesis import given, settings

from hyssopspring.core.budgets import RetryBudget
from hyssopspring.core.choice import POLICIES
from hyssopspring.core.configuration import (
    Configuration,
    Offer,
    Region,
    Workspace,
)
from hyssopspring.core.forwarding import refuse_forwarded
from hyssopspring.core.outcomes import Answered, NotRun, Reason, Unknown
from hyssopspring.core.placement import CentreSummary, CentreTable
from hyssopspring.core.plans import Finish, Forward, Plan, Serve
from hyssopspring.core.requests import Request, Target, TargetKind
from hyssopspring.core.sentinels import NOTHING
from hyssopspring.core.servers import LoadReport, ServerEntry, ServerTable

REGIONS = ("dar", "arusha", "mwanza")
MODEL = Target(TargetKind.MODEL, "m")
OTHER = Target(TargetKind.MODEL, "n")
OUTCOMES = st.sampled_from(
    [
        Answered(200),
        NotRun(Reason.CONNECT),
        NotRun(Reason.REFUSED),
        Unknown(Reason.CONNECTION_LOST),
        Unknown(Reason.SERVER_ERROR),
    ]
)


def make_table(draw_loads):
    """Return a server table with the given loads."""
    table = ServerTable("dar-a")
    table.replace(
        ServerEntry(
            name=f"s{number}",
            address=f"127.0.0.1:{number}",
            region="dar",
            data_centre="dar-a",
            targets=frozenset({MODEL} if number % 3 else {MODEL, OTHER}),
        )
        for number in range(len(draw_loads))
    )
    for number, load in enumerate(draw_loads):
        table.apply_report(
            f"s{number}",
            LoadReport(
                incarnation="i",
                sequence=1,
                running=load,
                waiting=0,
                slots=4,
                leaving=False,
                at=0.0,
            ),
        )
    return table


def make_centres(spare):
    """Return the summaries of the other regions."""
    centres = CentreTable("dar")
    for region, load in zip(REGIONS[1:], spare, strict=True):
        centres.apply_summary(
            CentreSummary(
                region=region,
                data_centre=f"{region}-a",
                gateways=("127.0.0.1:1",),
                targets={MODEL: (8, load, 0.1)},
            )
        )
    return centres


@settings(max_examples=300)
@given(
    loads=st.lists(st.integers(0, 9), max_size=5),
    spare=st.tuples(st.integers(0, 9), st.integers(0, 9)),
    residency=st.frozensets(st.sampled_from(REGIONS), min_size=1),
    permitted=st.frozensets(st.sampled_from(REGIONS), min_size=1),
    outcomes=st.lists(OUTCOMES, min_size=6, max_size=6),
    repeatable=st.booleans(),
    key=st.sampled_from([NOTHING, "k"]),
    path=st.sampled_from([(), ("other",)]),
    attempts=st.integers(1, 3),
    policy=st.sampled_from(sorted(POLICIES)),
)
def test_plan_respects_residency_attempts_and_outcomes(
    loads,
    spare,
    residency,
    permitted,
    outcomes,
    repeatable,
    key,
    path,
    attempts,
    policy,
):
    """A plan respects residency, attempt limit and the outcomes so far.

    Guards against requests that are served outside their residency, run
    twice, or reported as not run although an attempt may have run, for
    any combination of outcomes over servers, regions and fallbacks.
    """
    configuration = Configuration(
        regions={region: Region() for region in REGIONS},
        workspaces={"w": Workspace(home="dar")},
        models={"m": Offer(regions=permitted), "n": Offer()},
    )
    request = Request(
        id="r",
        workspace="w",
        target=MODEL,
        residency=residency,
        home="dar",
        deadline=10.0,
        repeatable=repeatable,
        key=key,
        attempts=attempts,
        fallbacks=(OTHER,),
        path=path,
    )
    plan = Plan(
        request,
        configuration=configuration,
        table=make_table(loads),
        centres=make_centres(spare),
        budget=RetryBudget(),
        rng=random.Random(1),
        policy=policy,
    )
    made = []
    while True:
        step = plan.next(0.0)
        if isinstance(step, Finish):
            break
        region = "dar"
        if isinstance(step, Forward):
            region = step.summary.region
            assert not path, "a forwarded request was forwarded again"
        assert region in residency
        assert step.target == OTHER or region in permitted
        if isinstance(step, Serve):
            assert step.target in step.server.entry.targets
        outcome = outcomes[len(made)]
        made.append(outcome)
        plan.record(outcome)
    assert len(made) <= attempts
    may_have_run = [o for o in made if not isinstance(o, NotRun)]
    if not repeatable:
        assert len(may_have_run) <= 1
        assert key or len(made) <= 1
    assert isinstance(step.outcome, NotRun) == (not may_have_run)


@given(
    path=st.lists(st.sampled_from(["a", "b", "me"]), max_size=3),
    residency=st.frozensets(st.sampled_from(REGIONS)),
    permitted=st.frozensets(st.sampled_from(REGIONS)),
)
def test_receiver_checks_path_and_residency_itself(path, residency, permitted):
    """A host serves a forwarded request only if both sides permit it.

    Guards against requests that are served outside their residency or
    forwarded in a loop. This occurs when the sender has an older
    configuration, or when two hosts each consider the other less loaded.
    """
    request = Request(
        id="r",
        workspace="w",
        target=MODEL,
        residency=residency,
        home="dar",
        deadline=1.0,
        path=tuple(path),
    )
    refusal = refuse_forwarded(request, "me", "arusha", permitted)
    if refusal is NOTHING:
        assert "arusha" in residency & permitted
        assert "me" not in path and len(path) <= 1


def test_request_that_would_come_too_late_is_refused_at_once():
    """A request is refused if the queue is longer than its deadline.

    With an empty queue it is admitted, however slow the server was.
    Guards against overload in which no response is in time, because each
    request waits in a queue until its deadline has passed and runs then.
    """
    table = make_table([400])
    server = table.servers["s0"]
    server.first_token = 2.0
    request = Request(
        id="r",
        workspace="w",
        target=MODEL,
        residency=frozenset(REGIONS),
        home="dar",
        deadline=10.0,
    )
    configuration = Configuration(
        regions={region: Region() for region in REGIONS},
        workspaces={"w": Workspace(home="dar")},
        models={"m": Offer()},
    )

    def first_step():
        return Plan(
            request,
            configuration=configuration,
            table=table,
            centres=CentreTable("dar"),
            budget=RetryBudget(),
            rng=random.Random(1),
        ).next(0.0)

    refused = first_step()
    assert refused.outcome.reason is Reason.OVERLOADED
    assert refused.outcome.retry_after > 1.0
    server.report = NOTHING
    server.first_token = 60.0
    assert isinstance(first_step(), Serve)


def test_retries_stay_a_share_of_the_traffic():
    """If all attempts fail, the load grows by a fifth and not threefold.

    Guards against an outage that does not end because each failed request
    is sent three times and the retries overload the servers.
    """
    budget = RetryBudget()
    retries = 0
    for _ in range(1000):
        budget.deposit()
        retries += budget.try_withdraw()
        retries += budget.try_withdraw()
    assert retries <= 0.2 * 1000 + budget.max_balance
