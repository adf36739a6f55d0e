"""The client of the platform's store."""

import base64
import binascii
import struct
from collections.abc import Sequence
from typing import Final
from urllib.parse import urlencode

import attrs
import msgspec
from expression import Error, Ok, Result

from sequoiawind import wire
from sequoiawind.http1_client import Http1Client, OutgoingRequest
from sequoiawind.http1_fetch import HttpReply, fetch
from sequoiawind.options import Address
from sequoiawind.platform.store_pages import (
    LENGTH,
    RawPage,
    decode_era,
    decode_lost,
    decode_page,
    keyed_page,
)
from sequoiawind.record_ports import (
    Appended,
    KeyedPage,
    KeyedRecord,
    ReadFailure,
)
from sequoiawind.store_era import StoreEra
from sequoiawind.verdict import Failure, Reason, may_have_run

NEWEST: Final = "/api/log-newest"
READ: Final = "/api/log-read"
APPEND: Final = "/api/log-append"
# Time allowed between two parts of an answer, in seconds.
STALL_S: Final = 0.8
# The keyed topics have one partition.
PARTITION: Final = "0"
# Status of the store if the requested records have been deleted.
GONE: Final = 410


class NewestItem(msgspec.Struct):
    """The newest record of a key."""

    key: str
    # Base64.
    value: str
    offset: int = 0


class NewestPage(msgspec.Struct):
    """The newest records of some keys."""

    items: list[NewestItem] = []
    has_more: bool = False
    # Offset of the next record that the partition will get.
    end: int = 0


class AppendAnswer(msgspec.Struct):
    """The answer to an append."""

    # Offset of the first record.
    offset: int = 0


@attrs.define(kw_only=True)
class StoreClient:
    """Reads keyed records; implements `record_ports.RecordPort`."""

    client: Http1Client
    address: Address
    era: StoreEra = attrs.field(factory=StoreEra)

    async def newest(
        self, topic: str, after: str, timeout_s: float
    ) -> Result[KeyedPage, ReadFailure]:
        """Return one page of the newest records, by key.

        The page contains one record for each key after the given one.
        """
        query = {"topic": topic, "part": PARTITION}
        if after:
            query["after"] = after
        answered = await self.get(NEWEST, query, timeout_s)
        if answered.is_error():
            return Error(answered.error)
        era = decode_era(answered.ok.headers)
        try:
            page = wire.decode(answered.ok.body, NewestPage)
            records = [
                KeyedRecord(
                    key=item.key,
                    value=base64.b64decode(item.value.encode(), validate=True),
                    stamp=(era, item.offset),
                )
                for item in page.items
            ]
        except (wire.WireError, binascii.Error) as error:
            return Error(may_have_run(Reason.TARGET_ERROR, str(error)))
        return Ok(
            KeyedPage(
                records=records,
                end=page.end,
                has_more=page.has_more,
                era=era,
            )
        )

    async def read(
        self, topic: str, start: int, wait_s: float, timeout_s: float
    ) -> Result[KeyedPage, ReadFailure]:
        """Return the records from an offset on.

        If there are none yet, the store waits up to `wait_s` seconds for one.
        """
        answered = await self.read_raw(topic, start, wait_s, timeout_s)
        if answered.is_error():
            return Error(answered.error)
        try:
            return Ok(keyed_page(answered.ok, start))
        except IndexError as error:
            return Error(may_have_run(Reason.TARGET_ERROR, repr(error)))

    async def read_raw(
        self, topic: str, start: int, wait_s: float, timeout_s: float
    ) -> Result[RawPage, ReadFailure]:
        """Return the records from an offset on as they were appended.

        If there are none yet, the store waits up to `wait_s` seconds for one.
        """
        query = {
            "topic": topic,
            "part": PARTITION,
            "from": str(start),
            "wait_ms": str(int(wait_s * 1000)),
        }
        answered = await self.get(READ, query, timeout_s)
        if answered.is_error():
            return Error(answered.error)
        try:
            era = decode_era(answered.ok.headers)
            return Ok(decode_page(answered.ok.body, start, era))
        except (struct.error, IndexError) as error:
            return Error(may_have_run(Reason.TARGET_ERROR, repr(error)))

    async def append(
        self,
        topic: str,
        contents: Sequence[bytes],
        timeout_s: float,
        at: int | None = None,
    ) -> Result[Appended, Failure]:
        """Append records to a topic of our own.

        Args:
          topic: The topic.
          contents: The records.
          timeout_s: Time allowed for the response, in seconds.
          at: Append only if the partition ends at this offset.
        """
        arguments = {"topic": topic, "part": PARTITION}
        if at is not None:
            arguments["at"] = str(at)
        query = urlencode(arguments)
        request = OutgoingRequest(
            method=b"POST",
            request_target=f"{APPEND}?{query}".encode(),
            headers=[(b"host", str(self.address).encode())],
            body=b"".join(LENGTH.pack(len(item)) + item for item in contents),
        )
        answered = await fetch(self.client, self.address, request, timeout_s)
        if answered.is_error():
            return Error(answered.error)
        era = self.note_era(answered.ok)
        if answered.ok.status != 200:
            text = f"status {answered.ok.status}"
            return Error(may_have_run(Reason.TARGET_ERROR, text))
        try:
            answer = wire.decode(answered.ok.body, AppendAnswer)
        except wire.WireError:
            answer = AppendAnswer()
        return Ok(Appended(era=era, offset=answer.offset))

    def note_era(self, reply: HttpReply) -> int:
        """Note the era that an answer states, and return it."""
        era = decode_era(reply.headers)
        self.era.seen(era)
        return era

    async def post(
        self, path: str, record: msgspec.Struct, timeout_s: float
    ) -> Result[HttpReply, Failure]:
        """Send a record to the store and check the answer's status."""
        request = OutgoingRequest(
            method=b"POST",
            request_target=path.encode(),
            headers=[
                (b"host", str(self.address).encode()),
                (b"content-type", b"application/json"),
            ],
            body=msgspec.json.encode(record),
        )
        answered = await fetch(self.client, self.address, request, timeout_s)
        if answered.is_ok():
            self.note_era(answered.ok)
        if answered.is_ok() and answered.ok.status != 200:
            text = f"status {answered.ok.status}"
            return Error(may_have_run(Reason.TARGET_ERROR, text))
        return answered

    async def get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> Result[HttpReply, ReadFailure]:
        """Send a request to the store and check the answer's status."""
        request = OutgoingRequest(
            method=b"GET",
            request_target=f"{path}?{urlencode(query)}".encode(),
            headers=[(b"host", str(self.address).encode())],
        )
        answered = await fetch(
            self.client, self.address, request, timeout_s, STALL_S
        )
        if answered.is_error():
            return Error(answered.error)
        self.note_era(answered.ok)
        status = answered.ok.status
        if status == GONE:
            return Error(decode_lost(answered.ok))
        if status != 200:
            return Error(may_have_run(Reason.TARGET_ERROR, f"status {status}"))
        return Ok(answered.ok)
