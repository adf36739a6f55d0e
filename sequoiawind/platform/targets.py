"""Decoding of the targets' entries in the store."""

from ipaddress import AddressValueError, IPv4Address

import msgspec
from expression import Error, Ok, Result

from sequoiawind import wire
from sequoiawind.forward_state import ForwardTarget
from sequoiawind.options import parse_port
from sequoiawind.platform import names
from sequoiawind.platform.numbers import Count


class ModelVersion(msgspec.Struct):
    """A model that a target serves, with the version of its weights."""

    name: str
    version: Count = 0


class TargetRecord(msgspec.Struct):
    """A target's entry as the target writes it.

    One that lacks a field without a default comes from another writer.
    """

    service: str
    address: str
    state: str
    zone: str
    # Version of the target's software.
    version: str
    slots: Count
    # How much longer the target is slow after its start, in milliseconds.
    cold_left_ms: float
    # Counts the entries that the target writes.
    seq: Count
    # Start of the target, in milliseconds since the epoch.
    born: Count = 0
    models: list[ModelVersion] = []


def decode_target(name: str, value: bytes) -> Result[ForwardTarget, str]:
    """Return the target in an entry, or why the entry is invalid."""
    try:
        record = wire.decode(value, TargetRecord)
    except wire.WireError as error:
        return Error(str(error))
    if record.state not in (names.READY, names.DRAINING):
        return Error(f"unknown state {record.state!r}")
    if not is_address(record.address):
        return Error(f"not an address: {record.address[:80]!r}")
    return Ok(
        ForwardTarget(
            name=name,
            pool=record.service,
            domain=record.zone,
            address=record.address,
            born_ms=record.born,
            is_draining=record.state == names.DRAINING,
            software=record.version,
            slots=max(1, record.slots),
            versions={model.name: model.version for model in record.models},
        )
    )


def is_address(text: str) -> bool:
    """Whether a text is an IPv4 address with a port to connect to."""
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    return bool(parse_port(port))
