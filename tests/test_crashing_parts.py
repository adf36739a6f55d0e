"""A part of prompts under which targets crash is found and kept from them."""

from typing import Any

import attrs
from testtools import TestCase

from sequoiawind.prompt_cache import Prompt, PromptPart
from sequoiawind.verdict import Reason, Verdict, may_have_run
from tests.forward_rig import FakeCaller, ForwardRig, Sent, target

LOST = may_have_run(Reason.CONNECTION_LOST, "lost")
# Time after the fifth crash from which at most three requests may be sent with
# the part, and the crashes, by the users' rules.
CONTACT_S = 3.0
FREE_CRASHES = 5
MAX_LATER_SENDS = 3
BAD = "bad"


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
    """A router before engines that crash under a prompt part."""

    rig: ForwardRig = attrs.field(factory=ForwardRig)
    # Requests with the part that reached an engine, by time.
    bad_sends_s: list[float] = attrs.field(factory=list)
    # When the engines crashed.
    crashes_s: list[float] = attrs.field(factory=list)
    # Sends that have no answer yet, and how many were handled.
    open: list[Sent] = attrs.field(factory=list)
    handled: int = 0
    born_ms: int = 1

    def __attrs_post_init__(self) -> None:
        """Start the engines."""
        for number in range(6):
            self.rig.add(target(f"e{number}", "llm", born_ms=self.born_ms))

    def request(self, *names: str, route: str = "draft") -> FakeCaller:
        """Submit a request with the given parts and a part of its own."""
        own = f"own{self.rig.request_count}"
        return self.rig.submit(route, prompt=prompt_of(*names, own))

    def step(self) -> None:
        """Let the engines begin what has arrived; some of them crash."""
        new = self.rig.port.sent[self.handled :]
        self.handled += len(new)
        self.open += new
        now_s = self.rig.clock.seconds()
        for sent in new:
            if self.is_bad(sent):
                self.bad_sends_s.append(now_s)
        for sent in [item for item in new if self.is_bad(item)]:
            if sent in self.open:
                self.crash(sent.order.target.name)
        for sent in [item for item in self.open if item not in new]:
            self.open.remove(sent)
            sent.answer(200, b"id: 1\ndata: x\n\n")
        self.rig.advance(0.1)

    def is_bad(self, sent: Sent) -> bool:
        """Whether a request has the part."""
        prompt = sent.order.request.prompt
        return prompt is not None and BAD in [part.id for part in prompt.parts]

    def crash(self, name: str) -> None:
        """End an engine with all its answers; it starts again at once."""
        self.crashes_s.append(self.rig.clock.seconds())
        broken = [item for item in self.open if item.order.target.name == name]
        self.open = [item for item in self.open if item not in broken]
        self.born_ms += 1
        self.rig.add(target(name, "llm", born_ms=self.born_ms))
        for sent in broken:
            sent.begin(200)
            sent.sink.failed(LOST)

    @property
    def later_sends(self) -> int:
        """Sends with the part later than allowed after the fifth crash."""
        if len(self.crashes_s) < FREE_CRASHES:
            return 0
        since_s = self.crashes_s[FREE_CRASHES - 1] + CONTACT_S
        return sum(sent_s > since_s for sent_s in self.bad_sends_s)


class OneRouterTest(TestCase):
    """What a router sees itself."""

    def play(self, rounds: int = 80, **fields: Any) -> CrashingFleet:
        """Send sound and other requests by turns."""
        fleet = CrashingFleet(**fields)
        for number in range(rounds):
            fleet.request("root", "sound")
            if number >= 10 and number % 4 == 0:
                fleet.request("root", BAD)
            fleet.step()
        return fleet

    def test_requests_with_the_part_stop_reaching_targets(self) -> None:
        fleet = self.play()
        self.assertTrue(fleet.crashes_s)
        self.assertTrue(fleet.later_sends <= MAX_LATER_SENDS, fleet.later_sends)

    def test_sound_requests_with_the_other_parts_go_on(self) -> None:
        fleet = self.play()
        callers = [fleet.request("root", "sound") for _ in range(20)]
        for _ in range(3):
            fleet.step()
        self.assertTrue(all(caller.is_ended for caller in callers))

    def test_refusal_says_that_nothing_ran_and_when_to_return(self) -> None:
        fleet = self.play()
        caller = fleet.request("root", BAD)
        assert caller.failure is not None
        self.assertEqual(Verdict.NOT_RUN, caller.failure.verdict)
        self.assertTrue(caller.failure.retry_after_s)
