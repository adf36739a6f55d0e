"""Decoding of callers' requests, and sending of the answers."""

from typing import Final

import attrs

from sequoiawind.forward_plan import ForwardRequest
from sequoiawind.headers import Headers, passed_headers
from sequoiawind.http1_server import CallerConnection
from sequoiawind.http_request import HttpRequest
from sequoiawind.platform import names
from sequoiawind.prompt_cache import Prompt, PromptPart
from sequoiawind.verdict import Failure, Verdict, forwarded_status

# Longer numbers in a header count as none.
MAX_DIGITS: Final = 15
DROPPED_HEADERS: Final = names.HOP_BY_HOP | names.OWN_HEADERS


def decode_request(request: HttpRequest) -> ForwardRequest:
    """Convert a caller's HTTP request to the product's type."""
    path = request.request_target.split(b"?", 1)[0].decode("latin-1")
    host = request.header(b"host").decode("latin-1").lower()
    return ForwardRequest(
        request_id=request.header(names.ATTEMPT_ID).decode("latin-1"),
        host=host.partition(":")[0],
        path=path,
        method=request.method,
        request_target=request.request_target,
        headers=passed_headers(request.headers, DROPPED_HEADERS),
        body=request.body,
        key=key(request.header(names.AUTHORIZATION)),
        arrived_s=request.arrived_s,
        read_s=request.read_s,
        deadline_s=parse_milliseconds(request.header(names.DEADLINE_MS)),
        last_event_id=request.header(names.LAST_EVENT_ID).decode("latin-1"),
        resumes=request.header(names.RESUMES).strip().decode("latin-1"),
        prompt=decode_prompt(request),
        flow=request.flow,
    )


def request_id(headers: Headers) -> str:
    """Return the request id in a request's headers; empty if it has none."""
    for name, value in headers:
        if name == names.ATTEMPT_ID:
            return value.decode("latin-1")
    return ""


def key(authorization: bytes) -> str:
    """Return the API key in an Authorization header; empty if it has none."""
    scheme, _, value = authorization.partition(b" ")
    if scheme.lower() != names.KEY_SCHEME:
        return ""
    return value.strip().decode("latin-1")


def parse_milliseconds(value: bytes) -> float | None:
    """Return a header's milliseconds as seconds; None if not a number."""
    text = value.strip()
    return int(text) / 1000 if is_number(text) else None


def is_number(text: bytes) -> bool:
    """Whether a header's text is a whole number of a usual size."""
    return text.isdigit() and len(text) <= MAX_DIGITS


def decode_prompt(request: HttpRequest) -> Prompt | None:
    """Return the prompt that headers describe; None if they name no model."""
    model = request.header(names.MODEL)
    if not model:
        return None
    counts = request.header(names.TOKEN_COUNT).split(b",")
    tokens, max_output = (
        parse_number(item) for item in (*counts, b"", b"")[:2]
    )
    return Prompt(
        model=model.decode("latin-1"),
        tokens=tokens,
        max_tokens=max_output,
        expected_tokens=parse_number(request.header(names.LENGTH_HINT)),
        parts=decode_parts(request.header(names.PROMPT_PREFIX)),
    )


def decode_parts(value: bytes) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt in order; malformed ones are left out."""
    parts = []
    for item in value.decode("latin-1").split(","):
        name, _, tokens = item.strip().partition(":")
        if name and is_number(tokens.encode("latin-1")):
            parts.append(PromptPart(id=name, tokens=int(tokens)))
    return tuple(parts)


def parse_number(value: bytes) -> int:
    """Return a header's whole number; 0 if it is not a number."""
    text = value.strip()
    return int(text) if is_number(text) else 0


@attrs.define(kw_only=True, eq=False)
class Caller:
    """A caller's connection; implements `forward_ports.ForwardCaller`."""

    connection: CallerConnection

    @property
    def is_choked(self) -> bool:
        """Whether targets are not read, for the caller or for memory."""
        return self.connection.output.is_held_up

    def send_head(self, status: int, headers: Headers) -> None:
        """Send an answer's head."""
        self.connection.send_head(status, headers)

    def send_data(self, data: bytes) -> None:
        """Send a part of the answer's body."""
        self.connection.send_data(data)

    def send_end(self) -> None:
        """End the answer."""
        self.connection.send_end()

    def reply(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        self.connection.reply(status, headers, body)

    def abort_answer(self) -> None:
        """Abort an answer, so that it does not look complete."""
        self.connection.abort_answer()

    def refuse(self, failure: Failure) -> None:
        """Send a failure's status.

        Retry-After is sent only if the request was not run.
        """
        headers: Headers = []
        if failure.verdict is Verdict.NOT_RUN and failure.retry_after_s:
            text = f"{failure.retry_after_s:.3f}".encode()
            headers.append((names.RETRY_AFTER, text))
        self.connection.reply(forwarded_status(failure), headers, b"")
