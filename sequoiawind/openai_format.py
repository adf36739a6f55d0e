"""The OpenAI wire format for completions: chunks, whole answers, errors.

Source: the public OpenAI API reference, "Chat Completions" and
"Completions".  Routers assemble whole answers and format errors; the engine
stand-in makes chunks.
"""

from collections.abc import Mapping, Sequence
from typing import Any, Final

import msgspec

from sequoiawind.verdict import Failure
from sequoiawind.wire import Usage

CHAT_PATH: Final = "/v1/chat/completions"
TEXT_PATH: Final = "/v1/completions"
MODELS_PATH: Final = "/v1/models"
DONE: Final = b"[DONE]"
# The `created` field of all answers.  It is a constant instead of the current
# time, so that the answers to one request are equal wherever they are computed.
CREATED: Final = 0

Json = dict[str, Any]

encode = msgspec.json.encode
decode = msgspec.json.decode


def prompt_of(path: str, body: Mapping[str, Any]) -> str | None:
    """Return the prompt text of a request; None if it has none."""
    if path == TEXT_PATH:
        prompt = body.get("prompt")
        return prompt if isinstance(prompt, str) else None
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        return None
    parts: list[str] = []
    for message in messages:
        if not isinstance(message, dict):
            return None
        content = message.get("content")
        if not isinstance(content, str):
            return None
        parts.append(f"<{message.get('role', 'user')}>{content}")
    return "".join(parts)


def token_chunk(path: str, request_id: str, model: str, text: str) -> bytes:
    """Return the chunk that carries one token."""
    return encode(chunk(path, request_id, model, text, None))


def last_chunk(path: str, request_id: str, model: str, usage: Usage) -> bytes:
    """Return the chunk that ends an answer and carries its usage."""
    body = chunk(path, request_id, model, "", "stop")
    body["usage"] = usage_json(usage)
    return encode(body)


def chunk(
    path: str, request_id: str, model: str, text: str, finish: str | None
) -> Json:
    """Return a chunk of a streamed answer."""
    choice: Json = {"index": 0, "finish_reason": finish}
    if path == CHAT_PATH:
        choice["delta"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": f"cmpl-{request_id}",
        "object": object_name(path, is_chunk=True),
        "created": CREATED,
        "model": model,
        "choices": [choice],
    }


def object_name(path: str, is_chunk: bool) -> str:
    """Return the `object` field of an answer or chunk."""
    if path == TEXT_PATH:
        return "text_completion"
    return "chat.completion.chunk" if is_chunk else "chat.completion"


class FormatError(ValueError):
    """A chunk that does not have the expected format."""


# Raised where a decoded chunk has another form than expected.
MALFORMED: Final = (AttributeError, LookupError, TypeError, ValueError)


def text_of(path: str, data: bytes) -> str:
    """Return the text that a chunk carries.

    Raises:
      FormatError: The chunk is not one of a completion.
    """
    if data == DONE:
        return ""
    try:
        choices = decode(data)["choices"]
        if choices == []:
            # The chunk with the usage may carry nothing else.
            return ""
        if path == CHAT_PATH:
            return str(choices[0]["delta"].get("content") or "")
        return str(choices[0].get("text") or "")
    except MALFORMED as error:
        raise FormatError(f"malformed chunk {data[:80]!r}") from error


def joined_text(path: str, chunks: Sequence[bytes]) -> str:
    """Return the text of consecutive chunks."""
    return "".join(text_of(path, data) for data in chunks)


def whole_answer(path: str, chunks: Sequence[bytes]) -> bytes:
    """Assemble the chunks of an answer into one JSON body.

    Raises:
      FormatError: The chunks are not those of a completion.
    """
    bodies = [data for data in chunks if data != DONE]
    text = joined_text(path, bodies)
    try:
        last = decode(bodies[-1])
        names = {"id": last["id"], "model": last["model"]}
    except MALFORMED as error:
        raise FormatError("the answer lacks its id or model") from error
    choice: Json = {"index": 0, "finish_reason": "stop", "logprobs": None}
    if path == CHAT_PATH:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return encode(
        {
            "id": names["id"],
            "object": object_name(path, is_chunk=False),
            "created": CREATED,
            "model": names["model"],
            "choices": [choice],
            "usage": last.get("usage") or usage_json(Usage()),
        }
    )


def usage_of(data: bytes) -> Usage | None:
    """Return the usage in a chunk; None if it carries none.

    Raises:
      FormatError: The chunk is not one of a completion.
    """
    if b'"usage"' not in data:
        return None
    try:
        body = decode(data).get("usage")
        if not body:
            return None
        details = body.get("prompt_tokens_details") or {}
        return Usage(
            prompt_tokens=count_in(body, "prompt_tokens"),
            cached_tokens=count_in(details, "cached_tokens"),
            completion_tokens=count_in(body, "completion_tokens"),
        )
    except MALFORMED as error:
        raise FormatError(f"malformed chunk {data[:80]!r}") from error


def count_in(body: Mapping[str, Any], name: str) -> int:
    """Return a token count of a usage; 0 if not a positive integer."""
    value = body.get(name)
    return value if isinstance(value, int) and value > 0 else 0


def usage_json(usage: Usage) -> Json:
    """Return the `usage` field of an answer."""
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    }


def error_body(failure: Failure) -> bytes:
    """Return the error body in the form the stock OpenAI client parses."""
    return encode(
        {
            "error": {
                "message": failure.detail or failure.reason.value,
                "type": error_type(failure.http_status),
                "param": None,
                "code": failure.reason.value,
                "verdict": failure.verdict.value,
            }
        }
    )


def error_type(status: int) -> str:
    """Return the OpenAI error type of an HTTP status."""
    if status == 401:
        return "authentication_error"
    if status == 429:
        return "rate_limit_error"
    if status < 500:
        return "invalid_request_error"
    return "server_error"


def models_body(models: Sequence[str]) -> bytes:
    """Return the answer to a request for the list of models."""
    data = [
        {
            "id": model,
            "object": "model",
            "created": CREATED,
            "owned_by": "sequoiawind",
        }
        for model in models
    ]
    return encode({"object": "list", "data": data})
