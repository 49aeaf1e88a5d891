"""Decode the documents that the operator writes into the store."""

from typing import Annotated, Literal

import msgspec

from ..core.exceptions import UNDECODABLE, ProtocolError
from ..core.hashing import credential_digest
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
from ..traffic.workspaces import TokenLimit, Workspace

__all__ = [
    "CONFIGURATION_KEY",
    "OPERATOR_PREFIX",
    "configuration_version",
    "hash_api_keys",
    "decode_configuration",
    "evacuated_data_centre",
]

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"

REQUEST_KINDS = {
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
    gap_aim_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    priority: int = 0
    service: str = ""
    weighted_services: list[_WeightedService] = []
    max_attempts: int = 1
    resumable: bool = False
    home_regions: list[str] = []
    public: bool = False


class _Workspace(msgspec.Struct):
    """A row of `tenants`.

    `rate_per_s` and `burst` are in the unit that `unit` names; a rate of
    0 means no limit. `hash_api_keys` replaces `api_keys` by
    `key_digests`.
    """

    name: str
    key_digests: list[str] = []
    priority: int | None = None
    home_regions: list[str] = []
    unit: Literal["requests", "tokens"] = "requests"
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    burst: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    plain_tokens: Annotated[int, msgspec.Meta(ge=1)] = 1


class _Engine(msgspec.Struct):
    slots: int = 1
    kv_capacity_tokens: int = 0
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0


class _Service(msgspec.Struct):
    name: str
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    health_path: str = ""
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_body_bytes: int = 4 * 1024 * 1024
    max_header_bytes: int = 16 * 1024
    idle_timeout_ms: float = 15000.0


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Workspace] = []


class _Version(msgspec.Struct):
    version: int


_DECODER = msgspec.json.Decoder(_Configuration)
_VERSION_DECODER = msgspec.json.Decoder(_Version)


def hash_api_keys(value):
    """Return the operator's document with digests in place of API keys.

    Hosts keep the document and send it to each other in the form in which
    it came from the store. A document that cannot be decoded is replaced
    by an empty one, because it may contain keys as well.
    """
    try:
        document = msgspec.json.decode(value)
        for row in document.get("tenants", ()):
            keys = row.pop("api_keys", ())
            row["key_digests"] = [
                credential_digest(key.encode()) for key in keys
            ]
    except (*UNDECODABLE, AttributeError, TypeError):
        return b""
    return msgspec.json.encode(document)


def decode_configuration(value):
    """Return the `Configuration` of the operator's document.

    Args:
        value: The document, as `hash_api_keys` returns it.

    Raises:
        ProtocolError: The document is invalid.
    """
    try:
        document = _DECODER.decode(value)
        routes = tuple(decode_route(row) for row in document.routes)
        workspaces = decode_workspaces(document.tenants)
    except (*UNDECODABLE, KeyError) as problem:
        raise ProtocolError(f"invalid configuration: {problem}") from None
    services = {row.name: decode_service(row) for row in document.services}
    return Configuration(
        version=document.version,
        routes=routes,
        services=services,
        limits=RequestLimits(
            body_bytes=document.limits.max_body_bytes,
            head_bytes=document.limits.max_header_bytes,
            idle_seconds=document.limits.idle_timeout_ms / 1000,
        ),
        workspaces=workspaces,
    )


def configuration_version(value):
    """Return the version of the operator's document.

    Returns:
        `NOTHING` if the document cannot be decoded.
    """
    try:
        return _VERSION_DECODER.decode(value).version
    except UNDECODABLE:
        return NOTHING


def decode_workspaces(rows):
    """Return the `Workspace` of each row, by name.

    Raises:
        ProtocolError: Two workspaces share a name or a key, so that the
            caller cannot be identified.
    """
    workspaces, owners = {}, {}
    for row in rows:
        if row.name in workspaces:
            raise ProtocolError(
                f"invalid configuration: duplicate workspace {row.name}"
            )
        workspaces[row.name] = decode_workspace(row)
        for digest in row.key_digests:
            owner = owners.setdefault(digest, row.name)
            if owner != row.name:
                raise ProtocolError(
                    "invalid configuration: "
                    f"workspaces {owner} and {row.name} share a key"
                )
    return workspaces


def decode_workspace(row):
    """Return the `Workspace` of one row."""
    limit = NOTHING
    if row.rate_per_s:
        limit = TokenLimit(
            rate=row.rate_per_s,
            burst=row.burst,
            plain_tokens=row.plain_tokens,
            counts_requests=row.unit == "requests",
        )
    return Workspace(
        name=row.name,
        key_digests=frozenset(row.key_digests),
        priority=NOTHING if row.priority is None else row.priority,
        homes=frozenset(row.home_regions),
        limit=limit,
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
        kind=REQUEST_KINDS[row.kind],
        timeout=row.timeout_ms / 1000,
        objective=row.target_latency_ms / 1000,
        gap_objective=(
            row.gap_aim_ms / 1000 if row.kind == "streaming" else 0.0
        ),
        priority=row.priority,
        services=tuple(shares),
        max_attempts=max(1, row.max_attempts),
        resumable=row.resumable,
        homes=frozenset(row.home_regions),
        public=row.public,
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
        health_path=row.health_path,
        engine=engine,
    )


def copy_seconds(engine):
    """Return the seconds that it takes to copy one cached token."""
    if not engine.link_mbps:
        return 0.0
    return engine.kv_token_bytes * 8 / (engine.link_mbps * 1e6)


def evacuated_data_centre(key):
    """Return the data centre that a key evacuates, or `NOTHING`."""
    if key.startswith(EVACUATION_PREFIX):
        return key.removeprefix(EVACUATION_PREFIX)
    return NOTHING
