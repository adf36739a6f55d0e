"""A long randomized run of the real router, agent and fold code with faults.

Callers, operators and faults run on one virtual clock and from one seed;
faults may overlap and recur.  The promises are checked inside the program
(``invariants``) and, at the end of the run, against the executions that the
stand-ins counted.
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
# When faults and new load stop, and how long the system has to settle then.
FAULTY_S: Final = 60.0
SETTLE_S: Final = 150.0
PROMPTS_PER_S: Final = 5.0
BOOKINGS_PER_S: Final = 3.0
FAULTS_PER_S: Final = 0.7
SILENCES_PER_S: Final = 0.07
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
    """One submission by a caller, and the answer it received."""

    soak: "Soak"
    request: CallerRequest
    # The router's process, and its epoch when the request was submitted.
    node: Node
    epoch: int
    chunks: list[bytes] = attrs.field(factory=list)
    end: Ended | None = None
    # Virtual time of the end; negative before it.
    ended_s: float = -1.0
    active_request: ActiveRequest | None = None
    resubmissions_left: int = 0

    def chunk(self, data: bytes) -> None:
        """Record a chunk of the answer."""
        invariants.check(
            self.end is None, "whole-answer", "chunk after the end of an answer"
        )
        self.chunks.append(data)

    def ended(self, ended: Ended) -> None:
        """Record the end of the answer and check it."""
        invariants.check(
            self.end is None,
            "one-end",
            f"request {self.request.request_id} ended twice",
        )
        self.end = ended
        self.ended_s = self.soak.rig.clock.seconds()
        self.soak.caller_ended(self)


@attrs.define(kw_only=True)
class AcceptedCommand:
    """A command whose acceptance was confirmed to an operator."""

    offset: int
    time_s: float
    command: Command


@attrs.define(kw_only=True)
class Soak:
    """One soak run with its system, callers, operators and faults."""

    seed: int
    rig: Rig = attrs.field(init=False)
    rng: random.Random = attrs.field(init=False)
    callers: list[SoakCaller] = attrs.field(factory=list)
    accepted: list[AcceptedCommand] = attrs.field(factory=list)
    # Number in the id of the last request.
    request_number: int = 0
    # Number of events by name, printed in the report of the run.
    counts: dict[str, int] = attrs.field(factory=dict)
    errors: list[str] = attrs.field(factory=list)
    faults: SoakFaults = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start the targets, agents and routers."""
        self.rng = random.Random(f"soak-{self.seed}")
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
        self.faults = SoakFaults(rig=self.rig, rng=self.rng, count=self.count)

    def run(self) -> list[str]:
        """Run, and return the violations and the unhandled errors."""
        invariants.violations.clear()
        publisher: Any = globalLogPublisher
        publisher.addObserver(self.observe)
        try:
            self.run_clock()
            self.check_end()
        except invariants.InvariantError:
            # Already recorded in `invariants.violations`.
            pass
        except Exception as error:
            # Any other exception that leaves the clock fails the run as well.
            self.errors.append(f"unhandled: {error!r}")
        finally:
            publisher.removeObserver(self.observe)
        return invariants.violations + self.errors

    def observe(self, event: Any) -> None:
        """Record a failure that was logged because nothing handled it."""
        failure = event.get("log_failure")
        if failure is not None:
            self.errors.append(f"unhandled: {failure.getErrorMessage()}")

    def run_clock(self) -> None:
        """Run the phase with faults, undo them, and let the system settle."""
        self.rig.advance_to(3.0)
        for rate, action in (
            (PROMPTS_PER_S, self.send_prompt),
            (BOOKINGS_PER_S, self.send_booking),
            (FAULTS_PER_S, self.faults.inject),
            (SILENCES_PER_S, self.faults.silence_engine),
            (COMMANDS_PER_S, self.race_commands),
        ):
            self.repeat(rate, action)
        self.rig.advance_to(FAULTY_S)
        self.faults.heal()
        self.rig.advance_to(FAULTY_S + SETTLE_S)

    def repeat(self, rate: float, action: Callable[[], None]) -> None:
        """Call an action at random times until the phase with faults ends.

        Args:
          rate: Mean number of calls per second.
          action: The function to call.
        """

        def act() -> None:
            if self.rig.clock.seconds() < FAULTY_S:
                action()
                later(self.rng.expovariate(rate), act)

        later = self.rig.clock.callLater
        later(self.rng.expovariate(rate), act)

    def count(self, name: str) -> None:
        """Increment a counter of the run."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def new_id(self) -> str:
        """Return a new request id."""
        self.request_number += 1
        return f"q{self.request_number}"

    # Callers.

    def send_prompt(self) -> None:
        """Send a prompt; prompts of different accounts share text."""
        topic = self.rng.randrange(6)
        text = workload.level("instructions", 512) + workload.level(
            f"dossier {topic}", 512
        )
        self.submit(
            CallerRequest(
                request_id=self.new_id(),
                token=self.rng.choice(ACCOUNTS),
                path=openai_format.TEXT_PATH,
                model="polar",
                prompt=f"{text} {self.request_number}",
                max_tokens=ANSWER_TOKENS,
            )
        )

    def send_booking(self) -> None:
        """Send a booking, sometimes as concurrent copies to several routers."""
        key = keys.make_key(self.rig.wall(), self.rng.getrandbits(74))
        token = self.rng.choice(ACCOUNTS)
        copies = self.rng.choice((1, 1, 1, 2, 3))
        for _ in range(copies):
            self.book(token, key, resubmissions=RESUBMISSIONS)

    def book(self, token: str, key: str, resubmissions: int) -> None:
        """Submit a booking; if it fails, resubmit it a number of times."""
        self.submit(
            CallerRequest(
                request_id=self.new_id(),
                token=token,
                path="/bookings/drop",
                body="{}",
                idempotency_key=key,
            ),
            resubmissions,
        )

    def submit(self, request: CallerRequest, resubmissions: int = 0) -> None:
        """Submit a request to a random router, as a load balancer would."""
        up = [router for router in self.rig.routers if router.node.is_up]
        if not up:
            return
        chosen = self.rng.choice(up)
        caller = SoakCaller(
            soak=self,
            request=request,
            node=chosen.node,
            epoch=chosen.node.epoch,
            resubmissions_left=resubmissions,
        )
        self.callers.append(caller)
        self.count("submitted")
        chosen.node.run(chosen.node.epoch, lambda: self.arrive(chosen, caller))
        if self.rng.random() < 0.05:
            self.rig.clock.callLater(
                self.rng.uniform(0.0, 1.0), self.disconnect, caller
            )

    def arrive(self, chosen: RigRouter, caller: SoakCaller) -> None:
        """Pass a request to the router that was chosen for it."""
        result = chosen.router.submit(caller.request, caller)
        if result.is_error():
            caller.ended(Ended(failure=result.error))
        else:
            caller.active_request = result.ok

    def disconnect(self, caller: SoakCaller) -> None:
        """Simulate the disconnect of a caller whose answer has not ended."""
        if caller.end is None and caller.active_request is not None:
            caller.node.run(caller.epoch, caller.active_request.cancel)

    def caller_ended(self, caller: SoakCaller) -> None:
        """Check the answer to a request, and resubmit a booking that failed."""
        end = caller.end
        if end is None:
            return
        verdict = end.failure.verdict.value if end.failure else "done"
        self.count(f"ended_{verdict}")
        request = caller.request
        if request.prompt and end.failure is None:
            self.check_text(caller)
        if request.idempotency_key and end.failure is not None:
            self.resubmit(caller)

    def check_text(self, caller: SoakCaller) -> None:
        """Check that a complete answer belongs to the caller's own prompt."""
        text = openai_format.joined_text(openai_format.TEXT_PATH, caller.chunks)
        expected = engine_model.expected_answer(
            caller.request.prompt, ANSWER_TOKENS
        )
        invariants.check(
            text == expected, "own-answer", caller.request.request_id
        )

    def resubmit(self, caller: SoakCaller) -> None:
        """Submit a booking again with the same key, as real callers do."""
        key = caller.request.idempotency_key
        if caller.resubmissions_left <= 0 or key is None:
            return
        pause_s = self.rng.uniform(0.5, 8.0)
        self.rig.clock.callLater(
            pause_s,
            self.book,
            caller.request.token,
            key,
            caller.resubmissions_left - 1,
        )

    # Operators.

    def race_commands(self) -> None:
        """Submit the commands of two operators at the same time."""
        for _ in range(2):
            up = [router for router in self.rig.routers if router.node.is_up]
            if up:
                self.submit_command(self.rng.choice(up))

    def submit_command(self, chosen: RigRouter) -> None:
        """Submit a random command.

        About half of the commands are conditional: they are rejected if the
        configuration is no longer at the revision that the router holds.
        """
        target = self.rng.choice(ENGINES)
        command: Command = self.rng.choice(
            (
                Drain(target=target, because="soak"),
                Admit(target=target),
                Admit(target=target),
                Set(
                    table="kinds",
                    name="briefing",
                    field="priority",
                    value=self.rng.randrange(1, 9),
                ),
            )
        )
        based_on = chosen.board.state.revision
        if self.rng.random() < 0.5:
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
        """Check the promises at the end of the run."""
        plain = self.faults.plain_service()
        for key, count in plain.by_key.items():
            invariants.check(count <= 1, "at-most-once", f"{key}: {count}")
        for caller in self.callers:
            self.check_caller(caller, plain)
        self.check_config()
        self.check_accounts()

    def check_caller(self, caller: SoakCaller, plain: PlainModel) -> None:
        """Check the answer of one caller against the executions counted."""
        request = caller.request
        end = caller.end
        is_alive = caller.node.is_up and caller.node.epoch == caller.epoch
        invariants.check(
            end is not None or not is_alive,
            "final-answer",
            f"request {request.request_id} has no answer",
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
        """Check that processes agree on the configuration.

        Each accepted command must be part of it.
        """
        boards = [router.board for router in self.rig.routers]
        boards += [agent.board for agent in self.rig.agents.values()]
        digests = {config_fold.digest(board.state) for board in boards}
        invariants.check(
            len(digests) == 1,
            "configuration-agreed",
            f"processes hold {len(digests)} different states",
        )
        revision = boards[0].state.revision
        for command in self.accepted:
            invariants.check(
                command.offset <= revision,
                "configuration-kept",
                f"accepted at offset {command.offset}, in force {revision}",
            )

    def check_accounts(self) -> None:
        """Check that no request or attempt is still counted as open."""
        for router in self.rig.routers:
            for name, usage in router.board.limits.usage.items():
                invariants.check(
                    usage.open_requests == 0,
                    "limits-released",
                    f"account {name} has {usage.open_requests} open requests",
                )
            for target, health in router.board.members.health.items():
                invariants.check(
                    health.open_attempts == 0,
                    "attempts-closed",
                    f"target {target} has {health.open_attempts} open attempts",
                )


def first_commands() -> list[Command]:
    """Return the initial configuration; an account's name is its token."""
    commands: list[Command] = [account_command(name, name) for name in ACCOUNTS]
    commands += language.parse_commands(CONFIGURATION)
    return commands


def run_seed(seed: int) -> tuple[list[str], dict[str, int]]:
    """Run one seed; return its violations and counts."""
    soak = Soak(seed=seed)
    return soak.run(), soak.counts
