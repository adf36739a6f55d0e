"""Rig: a router before targets that crash when they begin a certain request."""

import attrs

from sequoiawind.prompt_cache import Prompt, PromptPart
from sequoiawind.verdict import Reason, may_have_run
from tests.forward_rig import FakeCaller, ForwardRig, Sent, target

LOST = may_have_run(Reason.CONNECTION_LOST, "lost")
FATAL = b"fatal"
# How long a target runs a request before it answers or crashes, in seconds.
WORK_S = 0.1
RESTART_S = 2.0
# Pool and number of its targets.
POOLS = {"app": 3, "llm": 6}


def prompt_of(*names: str) -> Prompt:
    """Return a prompt with the given parts."""
    return Prompt(
        model="m",
        tokens=100 * len(names),
        max_tokens=10,
        parts=tuple(PromptPart(id=name, tokens=100) for name in names),
    )


@attrs.define(kw_only=True, eq=False)
class CrashingFleet:
    """A router, and targets that crash as they begin the fatal request."""

    rig: ForwardRig = attrs.field(factory=ForwardRig)
    # Fatal requests that reached a target, by time.
    fatal_sends_s: list[float] = attrs.field(factory=list)
    crashes_s: list[float] = attrs.field(factory=list)
    # Sends that have no answer yet, and how many were handled.
    open: list[Sent] = attrs.field(factory=list)
    handled: int = 0
    started: int = 0

    def __attrs_post_init__(self) -> None:
        """Start the targets."""
        for pool, count in POOLS.items():
            for _ in range(count):
                self.start(pool)

    def start(self, pool: str) -> None:
        """Start a target under a new name."""
        self.started += 1
        name = f"{pool}{self.started}"
        self.rig.add(target(name, pool, born_ms=self.started))

    def submit(
        self, route: str, body: bytes, *, path: str = "x", own: str = "own"
    ) -> FakeCaller:
        """Submit a request; streams share the part "root"."""
        prompt = prompt_of("root", own) if route in ("brief", "draft") else None
        return self.rig.submit(
            route,
            body=body,
            path=f"/{route}/{path}",
            request_target=f"/{route}/{path}".encode(),
            prompt=prompt,
        )

    def step(self) -> None:
        """Let the targets work for a while; fatal requests crash them."""
        new = self.rig.port.sent[self.handled :]
        self.handled += len(new)
        self.open += new
        now_s = self.rig.clock.seconds()
        self.fatal_sends_s += [now_s for sent in new if is_fatal(sent)]
        self.rig.advance(WORK_S)
        for sent in new:
            if sent not in self.open:
                continue
            if is_fatal(sent):
                self.crash(sent.order.target.name)
                continue
            self.open.remove(sent)
            is_stream = sent.order.request.prompt is not None
            sent.answer(200, b"id: 1\ndata: x\n\n" if is_stream else b"done")

    def crash(self, name: str) -> None:
        """End a target with all its answers; another one starts later."""
        self.crashes_s.append(self.rig.clock.seconds())
        broken = [item for item in self.open if item.order.target.name == name]
        self.open = [item for item in self.open if item not in broken]
        pool = self.rig.fleet.views[name].target.pool
        for sent in broken:
            sent.sink.failed(LOST)
        self.rig.fleet.remove(name, self.rig.clock.seconds())
        self.rig.clock.callLater(RESTART_S, self.start, pool)

    def later_sends(self, free_crashes: int, contact_s: float) -> int:
        """Return how many fatal requests were sent after some crashes.

        Args:
          free_crashes: The number of crashes.
          contact_s: Time after the last of them from which sends count, in
            seconds.
        """
        if len(self.crashes_s) < free_crashes:
            return 0
        since_s = self.crashes_s[free_crashes - 1] + contact_s
        return sum(sent_s > since_s for sent_s in self.fatal_sends_s)


def is_fatal(sent: Sent) -> bool:
    """Whether a request crashes the target that begins it."""
    return sent.order.request.body == FATAL
