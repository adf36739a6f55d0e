"""A caller's request, and what the configuration says about it."""

from functools import cached_property

import attrs

from sequoiawind import defaults, prefix
from sequoiawind.state import Account, Kind, Policy, Pool, Route


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A caller's request, independent of its transport."""

    request_id: str
    token: str
    path: str
    method: str = "POST"
    content_type: str = "application/json"
    # Fields of the body of a request to a model engine.
    model: str = ""
    prompt: str = ""
    max_tokens: int = defaults.DEFAULT_MAX_TOKENS
    # The body as sent; for a model engine, without the field `prompt`.
    body: str = ""
    idempotency_key: str | None = None


@attrs.frozen(kw_only=True)
class Plan:
    """A request with what the configuration says about it."""

    request: CallerRequest
    account: Account
    route: Route
    kind: Kind
    pool: Pool
    policy: Policy

    @cached_property
    def prompt_bytes(self) -> bytes:
        """The prompt in UTF-8; cached, since prompts are long."""
        return self.request.prompt.encode()

    @cached_property
    def prompt_tokens(self) -> int:
        """The number of tokens of the prompt, estimated from its bytes."""
        return prefix.count_tokens(self.prompt_bytes)

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may be repeated."""
        return self.kind.repeat == "idempotent"

    @property
    def cache_salt(self) -> str:
        """The salt of the request's cache blocks."""
        return prefix.cache_salt(
            self.account.name, self.pool.model, "", self.pool.version
        )
