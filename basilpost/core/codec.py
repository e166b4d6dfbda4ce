"""Converts frozen data classes to and from JSON and msgpack.

Objects in the store are JSON, so that operators can read them; messages between nodes are msgpack.
Unknown keys are an error everywhere, so that no field is dropped silently by a side that lacks it.
"""

import functools
import json
from typing import Any, TypeVar

import cattrs
import cattrs.preconf.json
import cattrs.preconf.msgpack
import msgpack

from basilpost.core import tolerant_json

T = TypeVar("T")


@functools.cache
def json_converter() -> cattrs.Converter:
    """Returns the shared converter for JSON values."""
    return cattrs.preconf.json.make_converter(forbid_extra_keys=True)


@functools.cache
def msgpack_converter() -> cattrs.Converter:
    """Returns the shared converter for msgpack values."""
    return cattrs.preconf.msgpack.make_converter(forbid_extra_keys=True)


def to_json(record: Any) -> bytes:
    """Encodes a record as compact JSON with sorted keys, so that equal records have equal bytes."""
    plain = json_converter().unstructure(record)
    return json.dumps(plain, sort_keys=True, separators=(",", ":")).encode()


def from_json(raw: bytes, kind: type[T]) -> T:
    """Decodes a record of the class `kind` from JSON.

    Raises:
        ValueError: If the bytes are not JSON or do not match the record.
    """
    try:
        return json_converter().structure(tolerant_json.loads(raw), kind)
    except (
        cattrs.BaseValidationError,
        ArithmeticError,
        AttributeError,
        KeyError,
        RecursionError,
        TypeError,
    ) as error:
        raise ValueError(f"not a {kind.__name__}: {error!r}") from error


def to_msgpack(record: Any) -> bytes:
    """Encodes a record as msgpack."""
    packed: bytes = msgpack.packb(msgpack_converter().unstructure(record))
    return packed


def from_msgpack(raw: bytes, kind: type[T]) -> T:
    """Decodes a record of the class `kind` from msgpack.

    Raises:
        ValueError: If the bytes are not msgpack or do not match the record.
    """
    try:
        return msgpack_converter().structure(msgpack.unpackb(raw), kind)
    except (
        cattrs.BaseValidationError,
        ArithmeticError,
        AttributeError,
        KeyError,
        RecursionError,
        TypeError,
        msgpack.UnpackException,
    ) as error:
        raise ValueError(f"not a {kind.__name__}: {error!r}") from error
