"""Callers of the forwarding soak whose requests crash targets.

A caller sends one request again and again at any router, under other request
ids: the same path, key and body.  Each target that begins to run it crashes.
Sound requests of the same path and key come beside it.
"""

from typing import TYPE_CHECKING, Final

import attrs

from sequoiawind.forward_plan import ForwardRequest
from sequoiawind.lab.forward_callers import ForwardSoakCaller
from sequoiawind.lab.forward_checks import FREE_REPEATS, CrashingRequests
from sequoiawind.prompt_cache import PromptPart

if TYPE_CHECKING:
    from sequoiawind.lab.forward_soak import ForwardSoak

# Shortest and longest pause between two sends, in seconds.
REPEAT_S: Final = (0.6, 0.8)
# Sound requests for each of them.
SOUND_SHARE: Final = 0.5


@attrs.define(kw_only=True, eq=False)
class CrashingCaller:
    """One caller who repeats a request that crashes targets."""

    soak: "ForwardSoak"
    name: str
    route: str
    # What is repeated; None before it was sent for the first time.
    request: ForwardRequest | None = None
    sends: int = 0
    # Sound requests of the same path and key.
    sound: list[ForwardSoakCaller] = attrs.field(factory=list)

    @property
    def crashing(self) -> CrashingRequests:
        """The arrivals of the request at targets, and the crashes."""
        return self.soak.world.crashing_bodies[self.body]

    @property
    def body(self) -> bytes:
        """The body, which no other request has."""
        return b"crash by " + self.name.encode()

    def start(self, begins_s: float) -> None:
        """Start to send, at a time in seconds of the clock."""
        self.soak.world.crashing_bodies[self.body] = CrashingRequests(
            name="crashing-request", free_crashes=FREE_REPEATS
        )
        delay_s = begins_s - self.soak.clock.seconds()
        self.soak.clock.callLater(delay_s, self.send)

    def send(self) -> None:
        """Send the request to a router, and perhaps a sound one beside it."""
        soak = self.soak
        soak.clock.callLater(soak.rng.uniform(*REPEAT_S), self.send)
        router = soak.router_up()
        if router is None:
            return
        if self.request is None:
            self.request = self.make_request()
        fresh = soak.make_request(self.route)
        again = attrs.evolve(
            self.request,
            request_id=fresh.request_id,
            arrived_s=fresh.arrived_s,
            read_s=fresh.read_s,
        )
        soak.send(router, again)
        self.sends += 1
        if soak.rng.random() < SOUND_SHARE:
            sound = attrs.evolve(
                soak.make_request(self.route), key=self.request.key
            )
            self.sound.append(soak.send(router, sound))

    def make_request(self) -> ForwardRequest:
        """Return the request; its prompt has one part, which no other has."""
        request = self.soak.make_request(self.route)
        prompt = request.prompt
        if prompt is not None:
            part = PromptPart(id=self.body.decode(), tokens=prompt.tokens)
            prompt = attrs.evolve(prompt, parts=(part,))
        return attrs.evolve(
            request,
            key=self.soak.config.kept_key,
            body=self.body,
            prompt=prompt,
        )
