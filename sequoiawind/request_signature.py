"""What makes a request the same as an earlier one, under whatever id.

Callers send a request again under a new id.  It is known by its caller, its
method, path and body, and by the parts of its prompt that other prompts share.
All are digests: they are short whatever a caller wrote, and tell nothing of it.
"""

from typing import Final

import attrs
from xxhash import xxh3_128, xxh3_128_hexdigest

from sequoiawind.forward_plan import ForwardPlan
from sequoiawind.prompt_cache import Prompt

# Beginning of the names of whole requests; names of prompt parts lack it.
WHOLE: Final = "request-"


@attrs.frozen(kw_only=True)
class RequestSignature:
    """The names of a whole request and of the shared parts of its prompt."""

    whole: str
    # In the order of the prompt; empty for calls to plain services.
    parts: tuple[str, ...] = ()

    @classmethod
    def of(cls, plan: ForwardPlan) -> "RequestSignature":
        """Return the signature of a request whose caller is known."""
        request = plan.request
        return cls(
            whole=whole_name(
                plan.account.name.encode(),
                request.host.encode(),
                request.method,
                request.request_target,
                request.body,
            ),
            parts=part_names(request.prompt) if request.prompt else (),
        )

    @property
    def names(self) -> tuple[str, ...]:
        """All names, that of the whole request last."""
        return (*self.parts, self.whole)


def is_whole(name: str) -> bool:
    """Whether a name is that of a whole request."""
    return name.startswith(WHOLE)


def whole_name(*fields: bytes) -> str:
    """Return the name of the request with the given fields."""
    state = xxh3_128()
    for field in fields:
        # With its length, so that no two lists of fields have the same bytes.
        state.update(b"%d:" % len(field))
        state.update(field)
    return WHOLE + state.hexdigest()


def part_names(prompt: Prompt) -> tuple[str, ...]:
    """Return the names of the parts that other prompts share.

    A part of another model's prompt is another part.
    """
    return tuple(
        digest(f"{prompt.model}\n{part.id}") for part in prompt.shared_parts
    )


def digest(text: str) -> str:
    """Return a short name for a text of any length."""
    return xxh3_128_hexdigest(text.encode())
