"""What the operator writes into the store, decoded."""

import msgspec

from ..core.exceptions import ProtocolError
from ..core.sentinels import NOTHING
from ..traffic.routes import (
    Configuration,
    EngineSpec,
    RequestKind,
    RequestLimits,
    Route,
    Service,
    WeightedService,
)

__all__ = [
    "CONFIGURATION_KEY",
    "OPERATOR_PREFIX",
    "decode_configuration",
    "evacuated_data_centre",
]

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"

KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAM,
}


class _WeightedService(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1000.0
    priority: int = 0
    service: str = ""
    weighted_services: list[_WeightedService] = []
    max_attempts: int = 1
    resumable: bool = False
    home_regions: list[str] = []


class _Engine(msgspec.Struct):
    slots: int = 1
    kv_capacity_tokens: int = 0
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0


class _Service(msgspec.Struct):
    name: str
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_body_bytes: int = 4 * 1024 * 1024
    idle_timeout_ms: float = 15000.0


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


_DECODER = msgspec.json.Decoder(_Configuration)


def decode_configuration(value):
    """Return the `Configuration` of the operator's document.

    Raises:
        ProtocolError: It is no such document.
    """
    try:
        document = _DECODER.decode(value)
        routes = tuple(decode_route(row) for row in document.routes)
    except (msgspec.DecodeError, KeyError) as problem:
        raise ProtocolError(f"configuration: {problem}") from None
    services = {row.name: decode_service(row) for row in document.services}
    return Configuration(
        version=document.version,
        routes=routes,
        services=services,
        limits=RequestLimits(
            body_bytes=document.limits.max_body_bytes,
            idle_seconds=document.limits.idle_timeout_ms / 1000,
        ),
    )


def decode_route(row):
    """Return the `Route` of one row."""
    shares = [
        WeightedService(share.service, share.weight)
        for share in row.weighted_services
    ]
    if not shares:
        shares = [WeightedService(row.service, 1.0)]
    return Route(
        name=row.name,
        host=row.host,
        prefix=row.prefix,
        kind=KINDS[row.kind],
        timeout=row.timeout_ms / 1000,
        objective=row.target_latency_ms / 1000,
        priority=row.priority,
        services=tuple(shares),
        max_attempts=max(1, row.max_attempts),
        resumable=row.resumable,
        homes=frozenset(row.home_regions),
    )


def decode_service(row):
    """Return the `Service` of one row."""
    engine = NOTHING
    if row.engine is not None:
        engine = EngineSpec(
            slots=row.engine.slots,
            memory_tokens=row.engine.kv_capacity_tokens,
            copy_seconds=copy_seconds(row.engine),
        )
    return Service(
        name=row.name,
        cold_seconds=row.cold_s,
        cold_rate=row.cold_per_s,
        engine=engine,
    )


def copy_seconds(engine):
    """Return the seconds that the copy of one cached token takes."""
    if not engine.link_mbps:
        return 0.0
    return engine.kv_token_bytes * 8 / (engine.link_mbps * 1e6)


def evacuated_data_centre(key):
    """Return the data centre that a key asks to evacuate, or NOTHING."""
    if key.startswith(EVACUATION_PREFIX):
        return key.removeprefix(EVACUATION_PREFIX)
    return NOTHING
