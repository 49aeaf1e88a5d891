"""Choose the model of a server by the service that it offers."""

from ..core.sentinels import NOTHING
from .enginework import EngineWork
from .plainwork import PlainServerWork

__all__ = ["make_work"]


def make_work(
    service, slots, prefill_times, decode_times, *, disabled=frozenset()
):
    """Return the model of a server.

    Args:
        service: Its `Service`.
        slots: Requests that it runs at once, as its entry says.
        prefill_times: `PrefillTimes` of the service.
        decode_times: `DecodeTimes` of the service.
        disabled: Each `Mechanism` that is switched off.
    """
    if service.engine is NOTHING:
        return PlainServerWork(max(1, slots))
    return EngineWork(
        service.engine, prefill_times, decode_times, disabled=disabled
    )
