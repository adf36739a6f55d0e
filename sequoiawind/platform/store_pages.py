"""Decoding of what the platform's store answers to reads of its log."""

import struct
from typing import Final

import attrs
import msgspec

from sequoiawind import wire
from sequoiawind.headers import Headers
from sequoiawind.http1_fetch import HttpReply
from sequoiawind.platform import names
from sequoiawind.record_ports import KeyedPage, KeyedRecord, RecordsLost

# Length prefix of each record in the body of a read.
LENGTH: Final = struct.Struct(">I")
# End and first offset of the partition, at the start of the body of a read.
END_AND_FIRST: Final = struct.Struct(">QQ")


@attrs.frozen(kw_only=True)
class RawPage:
    """Consecutive records as they were appended."""

    contents: list[bytes]
    # Offset of the next read.
    end: int
    has_more: bool
    era: int


class LostRecord(msgspec.Struct):
    """The answer to a read of records that have been deleted."""

    first: int = 0


def decode_era(headers: Headers) -> int:
    """Return the store's era; 0 if an answer does not state it."""
    text = dict(headers).get(names.STORE_ERA, b"").strip()
    return int(text) if text.isdigit() else 0


def decode_lost(reply: HttpReply) -> RecordsLost:
    """Return which records are lost, by the store's answer to a read."""
    era = decode_era(reply.headers)
    try:
        record = wire.decode(reply.body, LostRecord)
    except wire.WireError:
        return RecordsLost(era=era)
    return RecordsLost(era=era, first=record.first)


def decode_page(body: bytes, start: int, era: int = 0) -> RawPage:
    """Decode the body of a read.

    Raises:
      struct.error, IndexError: The body is truncated.
    """
    end, _ = END_AND_FIRST.unpack_from(body)
    position = END_AND_FIRST.size
    contents: list[bytes] = []
    while position < len(body):
        (length,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        content = body[position : position + length]
        if len(content) < length:
            raise IndexError("a record is truncated")
        position += length
        contents.append(content)
    # A read may return fewer records than there are before the end.
    return RawPage(
        contents=contents,
        end=start + len(contents),
        has_more=start + len(contents) < end,
        era=era,
    )


def keyed_page(page: RawPage, start: int) -> KeyedPage:
    """Return a page of keyed records.

    Raises:
      IndexError: A record is empty.
    """
    return KeyedPage(
        records=[
            decode_record(content, (page.era, start + place))
            for place, content in enumerate(page.contents)
        ],
        end=page.end,
        has_more=page.has_more,
        era=page.era,
    )


def decode_record(
    content: bytes, stamp: tuple[int, int] = (0, 0)
) -> KeyedRecord:
    """Decode a record: the key's length in a byte, the key, the value."""
    length = content[0]
    key = content[1 : 1 + length].decode("utf-8", "replace")
    value = content[1 + length :]
    return KeyedRecord(key=key, value=value or None, stamp=stamp)


def encode_record(record: KeyedRecord) -> bytes:
    """Encode a record: the key's length in a byte, the key, the value."""
    key = record.key.encode()
    return bytes([len(key)]) + key + (record.value or b"")
