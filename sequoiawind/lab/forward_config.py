"""The operator's configuration in the forwarding soak, and its changes."""

import random
from typing import Final

import attrs

from sequoiawind.forward_state import (
    ForwardAccount,
    ForwardKind,
    ForwardPool,
    ForwardRoute,
    ForwardState,
)
from sequoiawind.lab.forward_callers import ISOLATED, KEYS, KINDS
from sequoiawind.lab.forward_world import CACHE_STORE, MODEL, World
from sequoiawind.tokens import token_digest

# Kind by route; the last two routes are added and removed.
ROUTES: Final = {
    "read": "read",
    "book": "book",
    "brief": "brief",
    "draft": "draft",
    "look": "read",
    "sketch": "draft",
}
# Routes to draw one from for a request.
SHARES: Final = ("read", "book", "brief", "draft", "draft", "look", "sketch")
OPTIONAL_ROUTES: Final = ("look", "sketch")
# Pools of plain services and of engines.
PLAIN_POOLS: Final = ("app", "app2")
ENGINE_POOLS: Final = ("llm", "llm2")
# Share of the requests whose key may be a revoked one.
ANY_KEY_SHARE: Final = 0.4
# Factors by which time limits may change.
FACTORS: Final = (0.6, 1.0, 1.5)
CHANGES: Final = (
    "change_route",
    "move_route",
    "move_route",
    "change_kind",
    "add_key",
    "change_isolation",
)


@attrs.define(kw_only=True, eq=False)
class SoakConfig:
    """What the configuration holds now; each change is published."""

    world: World
    rng: random.Random
    revision: int = 0
    # Account by key, and the keys that have not been revoked.
    accounts: dict[str, str] = attrs.field(factory=lambda: dict(KEYS))
    valid_keys: set[str] = attrs.field(factory=lambda: set(KEYS))
    # A key that is never revoked.
    kept_key: str = attrs.field(init=False)
    # Pool by route, of the routes that exist.
    pools: dict[str, str] = attrs.field(init=False)
    kinds: dict[str, ForwardKind] = attrs.field(factory=lambda: dict(KINDS))
    # The configurations, the newest last.
    states: list[ForwardState] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Publish the first configuration, with one isolated account."""
        self.world.isolated_s[ISOLATED] = float("-inf")
        self.kept_key = self.rng.choice(sorted(KEYS))
        self.pools = {
            name: pools_of(name)[0]
            for name in ROUTES
            if name not in OPTIONAL_ROUTES
        }
        self.publish()

    def publish(self) -> None:
        """Publish what the configuration holds now."""
        self.revision += self.rng.randrange(1, 4)
        accounts = {
            key: ForwardAccount(
                name=self.accounts[key],
                token_digest=token_digest(key),
            )
            for key in sorted(self.valid_keys)
        }
        routes = {
            name: ForwardRoute(
                name=name,
                host="h",
                path=f"/{name}/",
                kind=ROUTES[name],
                pool=pool,
            )
            for name, pool in self.pools.items()
        }
        plain = [
            ForwardPool(name=item, service="plain") for item in PLAIN_POOLS
        ]
        engines = [
            ForwardPool(
                name=item,
                models=(MODEL,),
                memory_tokens=100_000,
                has_moves=True,
            )
            for item in ENGINE_POOLS
        ]
        kept = ForwardPool(name="kept", cache_store=CACHE_STORE)
        state = ForwardState(
            revision=self.revision,
            accounts=accounts,
            isolated_accounts=frozenset(self.world.isolated_s),
            kinds=dict(self.kinds),
            routes=routes,
            pools={pool.name: pool for pool in (*plain, *engines, kept)},
        )
        self.states.append(state)
        self.world.write("operator", "config", state)

    @property
    def open_routes(self) -> list[str]:
        """The routes that exist now, those with more traffic more often."""
        return [name for name in SHARES if name in self.pools]

    def random_key(self) -> str:
        """Return a key, which may be a revoked one."""
        is_any = self.rng.random() < ANY_KEY_SHARE
        keys = self.accounts if is_any else self.valid_keys
        return self.rng.choice(sorted(keys))

    # Changes.

    def change(self) -> None:
        """Change a route, a kind, or an account's keys or isolation."""
        change = self.rng.choice(CHANGES)
        self.world.counts[f"config {change}"] += 1
        getattr(self, change)()

    def change_route(self) -> None:
        """Add a route, or remove it if it exists."""
        name = self.rng.choice(OPTIONAL_ROUTES)
        if self.pools.pop(name, None) is None:
            self.pools[name] = self.rng.choice(pools_of(name))
        self.publish()

    def move_route(self) -> None:
        """Move a route to the other pool for its requests."""
        name = self.rng.choice(list(self.pools))
        first, second = pools_of(name)
        self.pools[name] = second if self.pools[name] == first else first
        self.publish()

    def change_kind(self) -> None:
        """Change the time limits of a kind, and how many targets it tries."""
        usual = self.rng.choice(list(KINDS.values()))
        self.kinds[usual.name] = attrs.evolve(
            usual,
            max_targets=self.rng.choice((1, 2, 3)),
            timeout_s=usual.timeout_s * self.rng.choice(FACTORS),
            aim_s=usual.aim_s * self.rng.choice(FACTORS),
            pause_s=usual.pause_s * self.rng.choice(FACTORS),
        )
        self.publish()

    def add_key(self) -> None:
        """Add a key to an account."""
        account = self.rng.choice(sorted(set(KEYS.values())))
        key = f"k-{len(self.accounts)}"
        self.accounts[key] = account
        self.valid_keys.add(key)
        self.publish()

    def change_isolation(self) -> None:
        """Isolate an account, or end its isolation."""
        account = self.rng.choice(sorted(set(KEYS.values())))
        isolated_s = self.world.isolated_s
        if isolated_s.pop(account, None) is None:
            isolated_s[account] = self.world.clock.seconds()
        self.publish()

    def revoke_key(self) -> None:
        """Revoke a random key, but not the one that is kept."""
        keys = sorted(self.valid_keys - {self.kept_key})
        if not keys:
            return
        key = self.rng.choice(keys)
        self.valid_keys.discard(key)
        self.publish()
        self.world.revoked_s[key] = self.world.clock.seconds()


def pools_of(route: str) -> tuple[str, str]:
    """Return the pools that can serve the requests of a route."""
    return ENGINE_POOLS if KINDS[ROUTES[route]].is_stream else PLAIN_POOLS
