"""Key layout of the platform's store, with the decoders of its values."""

from .operator import (
    CONFIGURATION_KEY,
    OPERATOR_PREFIX,
    configuration_version,
    decode_configuration,
    evacuated_data_centre,
)
from .registry import SERVERS_PREFIX, decode_server, server_id

__all__ = [
    "CONFIGURATION_KEY",
    "OPERATOR_PREFIX",
    "SERVERS_PREFIX",
    "configuration_version",
    "decode_configuration",
    "decode_server",
    "evacuated_data_centre",
    "server_id",
]
