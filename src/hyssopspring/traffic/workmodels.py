"""Choose the model of a server's work by its service."""

from ..core.sentinels import NOTHING
from .enginework import EngineWork
from .pauses import EngineGaps
from .plainwork import PlainServerWork
from .serverspeeds import ServerSpeeds

__all__ = ["make_work"]


def make_work(
    service,
    slots,
    prefill_times,
    decode_times,
    gap_model,
    *,
    disabled=frozenset(),
    speeds=NOTHING,
):
    """Return the model of a server's work in progress.

    Args:
        service: Its `Service`.
        slots: Requests that it runs concurrently, according to its entry.
        prefill_times: `PrefillTimes` of the service.
        decode_times: `DecodeTimes` of the service.
        gap_model: `GapModel` of the service.
        disabled: Each `Mechanism` that is disabled.
        speeds: Its `ServerSpeeds`.
    """
    speeds = speeds or ServerSpeeds()
    if service.engine is NOTHING:
        return PlainServerWork(max(1, slots), speeds=speeds)
    return EngineWork(
        service.engine,
        prefill_times,
        decode_times,
        disabled=disabled,
        gaps=EngineGaps(gap_model),
        speeds=speeds,
    )
