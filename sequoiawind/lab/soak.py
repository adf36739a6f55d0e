"""A long random run of real router, agent and fold code under faults.

Everything runs on one virtual clock and one seed: callers, operators, and
faults that come together and twice.  The promises are checked inside the
program (``invariants``) and against the stand-ins at the end.
"""

import random
from collections.abc import Callable
from typing import Any, Final

import attrs
from twisted.internet.defer import Deferred
from twisted.logger import globalLogPublisher

from sequoiawind import config_fold, invariants, keys, language, openai_format
from sequoiawind.commands import Admit, Command, Drain, Set
from sequoiawind.lab import engine_model, workload
from sequoiawind.lab.engine_model import EngineParameters
from sequoiawind.lab.memory_network import Node
from sequoiawind.lab.plain_model import PlainModel
from sequoiawind.lab.rig import Rig, RigRouter, RigTarget, account_command
from sequoiawind.lab.soak_faults import SoakFaults
from sequoiawind.plan import CallerRequest
from sequoiawind.router import ActiveRequest
from sequoiawind.verdict import Verdict
from sequoiawind.wire import Ended

ACCOUNTS: Final = ("nordlys", "petra", "third")
ENGINES: Final = ("e0", "e1", "e2")
ROUTERS: Final = 3
FAULTY_S: Final = 60.0
SETTLE_S: Final = 150.0
PROMPTS_PER_S: Final = 5.0
BOOKINGS_PER_S: Final = 3.0
FAULTS_PER_S: Final = 0.7
COMMANDS_PER_S: Final = 0.5
ANSWER_TOKENS: Final = 12
RESUBMISSIONS: Final = 3
CONFIGURATION: Final = """
create kind briefing with deadline_s = 30
create kind drop with repeat = never
create pool briefing with model = polar
create pool booking with service = plain
create route briefing with path = "/v1", model = polar, pool = briefing, kind = briefing
create route drops with path = "/bookings", pool = booking, kind = drop
create target e0 with pool = briefing, agent = e0, vm = vm-e0
create target e1 with pool = briefing, agent = e1, vm = vm-e1
create target e2 with pool = briefing, agent = e2, vm = vm-e2
create target book with pool = booking, agent = book, vm = vm-book
"""  # noqa: E501


@attrs.define(kw_only=True, eq=False)
class SoakCaller:
    """One submission of a caller, and what it was told."""

    soak: "Soak"
    request: CallerRequest
    node: Node
    epoch: int
    chunks: list[bytes] = attrs.field(factory=list)
    end: Ended | None = None
    ended_s: float = -1.0
    active_request: ActiveRequest | None = None
    tries_left: int = 0

    def chunk(self, data: bytes) -> None:
        """Take a chunk."""
        invariants.check(
            self.end is None, "whole-answer", "a chunk came after the end"
        )
        self.chunks.append(data)

    def ended(self, ended: Ended) -> None:
        """Take the end."""
        invariants.check(
            self.end is None, "one-end", f"{self.request.request_id} twice"
        )
        self.end = ended
        self.ended_s = self.soak.rig.clock.seconds()
        self.soak.answered(self)


@attrs.define(kw_only=True)
class AcceptedCommand:
    """A command that an operator was told is accepted."""

    offset: int
    time_s: float
    command: Command


@attrs.define(kw_only=True)
class Soak:
    """One run."""

    seed: int
    rig: Rig = attrs.field(init=False)
    source: random.Random = attrs.field(init=False)
    callers: list[SoakCaller] = attrs.field(factory=list)
    accepted: list[AcceptedCommand] = attrs.field(factory=list)
    number: int = 0
    # Counts of what the run did, for its report.
    counts: dict[str, int] = attrs.field(factory=dict)
    errors: list[str] = attrs.field(factory=list)
    faults: SoakFaults = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the system."""
        self.source = random.Random(f"soak-{self.seed}")
        self.rig = Rig(
            seed=self.seed,
            parameters=EngineParameters(cache_blocks=120, load_time_s=2.0),
            router_count=ROUTERS,
        )
        self.rig.log.retention_s = 40.0
        self.rig.configure(first_commands())
        for name in ENGINES:
            self.rig.add_target(RigTarget(name=name, pool="briefing"))
        self.rig.add_target(
            RigTarget(name="book", pool="booking", service="plain")
        )
        for number in range(ROUTERS):
            self.rig.add_router(f"r{number}")
        self.faults = SoakFaults(
            rig=self.rig, source=self.source, count=self.count
        )

    def run(self) -> list[str]:
        """Run, and return the violations found."""
        invariants.violations.clear()
        publisher: Any = globalLogPublisher
        publisher.addObserver(self.observe)
        try:
            self.run_clock()
            self.check_end()
        except invariants.InvariantError:
            # Remembered by `invariants`.
            pass
        except Exception as error:
            # Any other error that reaches the clock is a fault as well.
            self.errors.append(f"unhandled: {error!r}")
        finally:
            publisher.removeObserver(self.observe)
        return invariants.violations + self.errors

    def observe(self, event: Any) -> None:
        """Keep errors that nothing else handled."""
        failure = event.get("log_failure")
        if failure is not None:
            self.errors.append(f"unhandled: {failure.getErrorMessage()}")

    def run_clock(self) -> None:
        """Run the virtual time."""
        self.rig.advance(3.0)
        for rate, action in (
            (PROMPTS_PER_S, self.send_prompt),
            (BOOKINGS_PER_S, self.send_booking),
            (FAULTS_PER_S, self.faults.inject),
            (COMMANDS_PER_S, self.race_commands),
        ):
            self.repeat(rate, action)
        self.rig.advance(FAULTY_S)
        self.faults.heal()
        self.rig.advance(FAULTY_S + SETTLE_S)

    def repeat(self, rate: float, action: Callable[[], None]) -> None:
        """Do something at random times while the faults last."""

        def act() -> None:
            if self.rig.clock.seconds() < FAULTY_S:
                action()
                later(self.source.expovariate(rate), act)

        later = self.rig.clock.callLater
        later(self.source.expovariate(rate), act)

    def count(self, name: str) -> None:
        """Count something the run did."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def new_id(self) -> str:
        """Return a new request id."""
        self.number += 1
        return f"q{self.number}"

    # Callers.

    def send_prompt(self) -> None:
        """Send a prompt; accounts share their prompts' text."""
        topic = self.source.randrange(6)
        text = workload.level("instructions", 512) + workload.level(
            f"dossier {topic}", 512
        )
        self.submit(
            CallerRequest(
                request_id=self.new_id(),
                token=self.source.choice(ACCOUNTS),
                path=openai_format.TEXT_PATH,
                model="polar",
                prompt=f"{text} {self.number}",
                max_tokens=ANSWER_TOKENS,
            )
        )

    def send_booking(self) -> None:
        """Send a booking, at times through several routers at once."""
        key = keys.make_key(self.rig.wall(), self.source.getrandbits(74))
        token = self.source.choice(ACCOUNTS)
        copies = self.source.choice((1, 1, 1, 2, 3))
        for _ in range(copies):
            self.book(token, key, tries=RESUBMISSIONS)

    def book(self, token: str, key: str, tries: int) -> None:
        """Submit a booking."""
        self.submit(
            CallerRequest(
                request_id=self.new_id(),
                token=token,
                path="/bookings/drop",
                body="{}",
                idempotency_key=key,
            ),
            tries,
        )

    def submit(self, request: CallerRequest, tries: int = 0) -> None:
        """Submit a request to a router that the balancer chooses."""
        up = [router for router in self.rig.routers if router.node.is_up]
        if not up:
            return
        chosen = self.source.choice(up)
        caller = SoakCaller(
            soak=self,
            request=request,
            node=chosen.node,
            epoch=chosen.node.epoch,
            tries_left=tries,
        )
        self.callers.append(caller)
        self.count("submitted")
        chosen.node.run(chosen.node.epoch, lambda: self.arrive(chosen, caller))
        if self.source.random() < 0.05:
            self.rig.clock.callLater(
                self.source.uniform(0.0, 1.0), self.leave, caller
            )

    def arrive(self, chosen: RigRouter, caller: SoakCaller) -> None:
        """Give a request to a router."""
        result = chosen.router.submit(caller.request, caller)
        if result.is_error():
            caller.ended(Ended(failure=result.error))
        else:
            caller.active_request = result.ok

    def leave(self, caller: SoakCaller) -> None:
        """Let a caller go away."""
        if caller.end is None and caller.active_request is not None:
            caller.node.run(caller.epoch, caller.active_request.cancel)

    def answered(self, caller: SoakCaller) -> None:
        """Check an answer, and submit a booking again that has none."""
        end = caller.end
        if end is None:
            return
        verdict = end.failure.verdict.value if end.failure else "done"
        self.count(f"told_{verdict}")
        request = caller.request
        if request.prompt and end.failure is None:
            self.check_text(caller)
        if request.idempotency_key and end.failure is not None:
            self.resubmit(caller)

    def check_text(self, caller: SoakCaller) -> None:
        """A whole answer is the answer to this caller's own prompt."""
        text = openai_format.joined_text(openai_format.TEXT_PATH, caller.chunks)
        expected = engine_model.expected_answer(
            caller.request.prompt, ANSWER_TOKENS
        )
        invariants.check(
            text == expected, "own-answer", caller.request.request_id
        )

    def resubmit(self, caller: SoakCaller) -> None:
        """Submit a booking again with its key, as callers do."""
        key = caller.request.idempotency_key
        if caller.tries_left <= 0 or key is None:
            return
        pause_s = self.source.uniform(0.5, 8.0)
        self.rig.clock.callLater(
            pause_s,
            self.book,
            caller.request.token,
            key,
            caller.tries_left - 1,
        )

    # Operators.

    def race_commands(self) -> None:
        """Let two operators give commands at the same moment."""
        for _ in range(2):
            up = [router for router in self.rig.routers if router.node.is_up]
            if up:
                self.command(self.source.choice(up))

    def command(self, chosen: RigRouter) -> None:
        """Give a command, often based on what its operator has seen."""
        target = self.source.choice(ENGINES)
        command: Command = self.source.choice(
            (
                Drain(target=target, because="soak"),
                Admit(target=target),
                Admit(target=target),
                Set(
                    table="kinds",
                    name="briefing",
                    field="priority",
                    value=self.source.randrange(1, 9),
                ),
            )
        )
        based_on = chosen.board.state.revision
        if self.source.random() < 0.5:
            based_on = -1

        async def submit() -> None:
            result = await chosen.follower.submit(command, "soak", based_on)
            if result.is_ok() and not result.ok.rejection:
                self.count("commands_accepted")
                self.accepted.append(
                    AcceptedCommand(
                        offset=result.ok.offset,
                        time_s=self.rig.clock.seconds(),
                        command=command,
                    )
                )

        Deferred.fromCoroutine(submit())

    # Checks at the end.

    def check_end(self) -> None:
        """Check the promises against the stand-ins."""
        plain = self.faults.plain()
        for key, count in plain.by_key.items():
            invariants.check(count <= 1, "at-most-once", f"{key}: {count}")
        for caller in self.callers:
            self.check_caller(caller, plain)
        self.check_config()
        self.check_accounts()

    def check_caller(self, caller: SoakCaller, plain: PlainModel) -> None:
        """Check what one caller was told."""
        request = caller.request
        end = caller.end
        is_alive = caller.node.is_up and caller.node.epoch == caller.epoch
        invariants.check(
            end is not None or not is_alive,
            "final-answer",
            f"{request.request_id} never ended",
        )
        if end is None or not request.idempotency_key:
            return
        runs = plain.by_request[request.request_id]
        if end.failure is not None and end.failure.verdict is Verdict.NOT_RUN:
            invariants.check(
                runs == 0, "not-run-is-not-run", request.request_id
            )
        if end.failure is None:
            key = f"{request.token}/{request.idempotency_key}"
            invariants.check(
                plain.by_key[key] == 1, "done-is-done", request.request_id
            )

    def check_config(self) -> None:
        """All processes hold the fold of the log; nothing accepted is lost."""
        boards = [router.board for router in self.rig.routers]
        boards += [made.board for made in self.rig.agents.values()]
        digests = {config_fold.digest(board.state) for board in boards}
        invariants.check(
            len(digests) == 1, "configuration-agreed", f"{len(digests)} states"
        )
        revision = boards[0].state.revision
        for command in self.accepted:
            invariants.check(
                command.offset <= revision,
                "configuration-kept",
                f"accepted at {command.offset}, in force {revision}",
            )

    def check_accounts(self) -> None:
        """Every request that ended has given back what it held."""
        for router in self.rig.routers:
            for name, usage in router.board.limits.usage.items():
                invariants.check(
                    usage.open_requests == 0,
                    "limits-released",
                    f"{name} holds {usage.open_requests}",
                )
            for target, health in router.board.members.health.items():
                invariants.check(
                    health.open_attempts == 0,
                    "attempts-closed",
                    f"{target} has {health.open_attempts}",
                )


def first_commands() -> list[Command]:
    """Return the configuration of the run; tokens are account names."""
    made: list[Command] = [account_command(name, name) for name in ACCOUNTS]
    made += language.parse_commands(CONFIGURATION)
    return made


def run_seed(seed: int) -> tuple[list[str], dict[str, int]]:
    """Run one seed; return its violations and counts."""
    soak = Soak(seed=seed)
    return soak.run(), soak.counts
