"""A randomized run of the forwarding routers and agents with faults.

The decision code and the controllers are the real ones; `forward_world` is a
model of the platform.  Promises are checked there, and here against the
answers that callers received.
"""

import random
from collections.abc import Callable
from contextlib import suppress
from typing import Final

import attrs

from sequoiawind import invariants
from sequoiawind.forward_plan import ForwardRequest
from sequoiawind.forward_state import ForwardKind, ForwardTarget
from sequoiawind.forwarding import Forwarding
from sequoiawind.lab.forward_callers import (
    KINDS,
    ForwardSoakCaller,
)
from sequoiawind.lab.forward_config import ENGINE_POOLS, ROUTES, SoakConfig
from sequoiawind.lab.forward_crashers import CrashingCaller
from sequoiawind.lab.forward_ends import Ends
from sequoiawind.lab.forward_faults import ForwardFaults
from sequoiawind.lab.forward_processes import Processes, SoakRouter
from sequoiawind.lab.forward_targets import SimulatedTarget
from sequoiawind.lab.forward_world import MODEL, World
from sequoiawind.lab.memory_network import Node
from sequoiawind.lab.stream_content import (
    last_number,
    stream_id,
    whole_events,
)
from sequoiawind.lab.virtual_clock import VirtualClock
from sequoiawind.prompt_cache import Prompt, PromptPart
from sequoiawind.rollout import NamedVersion

ROUTERS: Final = 3
# Pools of the engines and of the targets for calls.
ENGINES: Final = ("llm",) * 6 + ("llm2",) * 4
PLAIN_TARGETS: Final = ("app",) * 3 + ("app2",) * 3
# When faults stop, and how long the run lasts after that.
FAULTY_S: Final = 30.0
SETTLE_S: Final = 15.0
REQUESTS_PER_S: Final = 14.0
FAULTS_PER_S: Final = 0.6
CHANGES_PER_S: Final = 0.4
SILENCES_PER_S: Final = 0.7
# Part of prompts under which engines crash, and requests with it per second.
FATAL_PART: Final = "fatal"
FATAL_PER_S: Final = 0.5
# How often callers with broken streams take them up again, per second.
RECONNECTS_PER_S: Final = 10.0
# When callers begin to repeat requests that crash targets, and their routes.
CRASHERS: Final = (
    (6.0, "read"),
    (9.0, "draft"),
    (FAULTY_S + 0.5, "read"),
    (FAULTY_S + 1.0, "brief"),
)
SOFTWARE: Final = ("v1", "v2")
# How long after its revocation a key may still work.
REVOKE_S: Final = 5.0


@attrs.define(kw_only=True, eq=False)
class ForwardSoak:
    """One soak run of the forwarding, with its callers and faults."""

    seed: int
    clock: VirtualClock = attrs.field(factory=VirtualClock)
    rng: random.Random = attrs.field(init=False)
    world: World = attrs.field(init=False)
    processes: Processes = attrs.field(init=False)
    callers: list[ForwardSoakCaller] = attrs.field(factory=list)
    config: SoakConfig = attrs.field(init=False)
    # Weights versions in the order in which the operator named them.
    named_versions: list[NamedVersion] = attrs.field(factory=list)
    # Number of targets started so far.
    targets_started: int = 0
    faults: ForwardFaults = attrs.field(init=False)
    ends: Ends = attrs.field(init=False)
    # Callers whose requests crash targets, by when they begin: while faults
    # come, and when all is calm.
    crashers: dict[float, CrashingCaller] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Set up the platform, and start targets, agents and routers."""
        self.rng = random.Random(f"forward-soak-{self.seed}")
        self.world = World(
            clock=self.clock,
            random=self.rng,
            revoke_s=REVOKE_S,
        )
        self.processes = Processes(world=self.world, rng=self.rng)
        self.faults = ForwardFaults(soak=self)
        self.ends = Ends(world=self.world, was_paused=self.faults.was_paused)
        self.crashers = {
            begins_s: CrashingCaller(soak=self, name=f"c{number}", route=route)
            for number, (begins_s, route) in enumerate(CRASHERS)
        }
        self.world.fatal_part = FATAL_PART
        self.world.on_fatal = self.faults.crash_under_request
        self.config = SoakConfig(world=self.world, rng=self.rng)
        for number, pool in enumerate(ENGINES):
            self.add_target(f"e{number}", pool, f"e{number}:1")
            self.processes.start_agent(f"e{number}:1")
        for number, pool in enumerate(PLAIN_TARGETS):
            self.add_target(f"p{number}", pool, f"p{number}:1")
        for number in range(ROUTERS):
            self.processes.start_router(Node(name=f"r{number}"))

    def run(self) -> list[str]:
        """Run, and return the violations."""
        invariants.violations.clear()
        try:
            self.clock.advance_to(2.0)
            self.repeat(REQUESTS_PER_S, self.send_request)
            self.repeat(FATAL_PER_S, self.send_fatal)
            self.repeat(FAULTS_PER_S, self.faults.inject)
            self.repeat(CHANGES_PER_S, self.faults.change_rules)
            self.repeat(SILENCES_PER_S, self.faults.silence_target)
            for begins_s, crasher in self.crashers.items():
                crasher.start(begins_s)
            self.repeat(10.0, self.check_revisions)
            self.repeat(RECONNECTS_PER_S, self.reconnect_callers)
            self.clock.advance_to(FAULTY_S)
            self.faults.heal()
            self.clock.advance_to(FAULTY_S + SETTLE_S)
            self.check_end()
        except invariants.InvariantError:
            # Already recorded in `invariants.violations`.
            pass
        return list(invariants.violations)

    @property
    def counts(self) -> dict[str, int]:
        """Number of events of the run by name."""
        caller_counts = {
            "forwarded": len(self.callers),
            "forward_served": sum(item.is_served for item in self.callers),
            "streams continued": sum(
                bool(item.prior and item.body) for item in self.callers
            ),
        }
        crashes_s = self.world.crashing.crashes_s
        caller_counts["crashes under a part"] = len(crashes_s)
        caller_counts["repeats"] = sum(
            len(item.repeats_s) for item in self.world.arrivals.values()
        )
        crashers = self.crashers.values()
        caller_counts["crashes under a request"] = sum(
            len(item.crashing.crashes_s) for item in crashers
        )
        sound = [caller for item in crashers for caller in item.sound]
        caller_counts["sound beside crashing"] = len(sound)
        caller_counts["sound beside crashing, served"] = sum(
            caller.is_served for caller in sound
        )
        return {**self.world.counts, **caller_counts}

    def repeat(self, rate: float, action: Callable[[], None]) -> None:
        """Call an action at random times for the whole run.

        Args:
          rate: Mean number of calls per second.
          action: The function to call.
        """

        def act() -> None:
            action()
            self.clock.callLater(self.rng.expovariate(rate), act)

        self.clock.callLater(self.rng.expovariate(rate), act)

    # The platform.

    def name_weights(self) -> None:
        """Publish the operator's next weights version."""
        version = (
            self.named_versions[-1].version + 1 if self.named_versions else 2
        )
        now_s = self.clock.seconds()
        self.named_versions.append(NamedVersion(version=version, named_s=now_s))
        self.world.write("operator", "weights/m", self.named_versions[-1])

    def add_target(
        self, name: str, pool: str, address: str, software: str = ""
    ) -> None:
        """Start a target, of the next software version unless one is named."""
        self.targets_started += 1
        is_engine = pool in ENGINE_POOLS
        entry = ForwardTarget(
            name=name,
            pool=pool,
            address=address,
            born_ms=self.targets_started,
            slots=8,
            software=software or self.next_software,
            versions={MODEL: self.newest_version} if is_engine else {},
        )
        self.world.targets[name] = SimulatedTarget(
            world=self.world, entry=entry, version=self.newest_version
        )
        self.world.write("targets", name, entry)

    @property
    def next_software(self) -> str:
        """The software version of the target that starts now."""
        return SOFTWARE[self.targets_started % len(SOFTWARE)]

    @property
    def newest_version(self) -> int:
        """The newest weights version that was published; 1 before that."""
        return self.named_versions[-1].version if self.named_versions else 1

    # Callers.

    def send_request(self) -> None:
        """Send a request to a router that is up."""
        router = self.router_up()
        if router is None:
            return
        name = self.rng.choice(self.config.open_routes)
        self.send(router, self.make_request(name))

    def send_fatal(self) -> None:
        """Send a request with the part under which engines crash."""
        router = self.router_up()
        if router is None:
            return
        request = self.make_request(self.rng.choice(("brief", "draft")))
        assert request.prompt is not None
        root, _, own = request.prompt.parts
        fatal = PromptPart(id=FATAL_PART, tokens=100)
        prompt = attrs.evolve(request.prompt, parts=(root, fatal, own))
        self.send(router, attrs.evolve(request, prompt=prompt))

    def router_up(self) -> SoakRouter | None:
        """Return a router that is up; None if there is none."""
        up = [
            item for item in self.processes.routers.values() if item.node.is_up
        ]
        return self.rng.choice(up) if up else None

    def reconnect_callers(self) -> None:
        """Let callers with broken streams take them up at any router."""
        for caller in list(self.callers):
            router = self.router_up()
            if router is None or not caller.may_reconnect:
                continue
            route = route_of(caller.request)
            if route not in self.config.pools:
                continue
            caller.has_reconnected = True
            prior = whole_events(caller.prior + caller.body)
            request = attrs.evolve(
                self.make_request(route),
                key=caller.request.key,
                body=caller.request.body,
                prompt=caller.request.prompt,
                last_event_id=str(last_number(prior)),
                resumes=stream_id(caller.request),
            )
            self.world.counts["callers reconnected"] += 1
            self.send(router, request, prior)

    def send(
        self,
        router: SoakRouter,
        request: ForwardRequest,
        prior: bytes = b"",
    ) -> ForwardSoakCaller:
        """Send a request to a router, with what the caller has already."""
        caller = ForwardSoakCaller(
            request=request,
            kind=KINDS[ROUTES[route_of(request)]],
            node=router.node,
            epoch=router.node.epoch,
            clock=self.clock,
            due_s=self.due_s(router, request),
            prior=prior,
            on_abort=self.ends.aborted,
            on_failure=self.ends.failed,
        )
        self.callers.append(caller)
        # Until it learns of a change, a router sends to the pool of before.
        known = router.board.state.routes.get(route_of(request))
        pool = known.pool if known else self.config.pools[route_of(request)]
        self.world.arrivals[pool].requests_s.append(self.clock.seconds())

        def arrive() -> None:
            caller.due_s = self.due_s(router, request)
            forwarding = router.forwarder.submit(request, caller)
            caller.is_accepted = forwarding is not None
            if forwarding is not None and self.rng.random() < 0.05:
                delay_s = self.rng.uniform(0.0, 0.5)
                router.clock.callLater(
                    delay_s, self.disconnect, forwarding, caller
                )

        router.node.run(router.node.epoch, arrive)
        return caller

    def due_s(self, router: SoakRouter, request: ForwardRequest) -> float:
        """Return the deadline of a request that a router gets now."""
        kinds = router.board.state.kinds
        kind = kinds.get(ROUTES[route_of(request)])
        assert request.deadline_s is not None
        limit_s = request.deadline_s
        if isinstance(kind, ForwardKind):
            limit_s = min(limit_s, kind.timeout_s)
        return request.read_s + limit_s

    def disconnect(
        self, forwarding: Forwarding, caller: ForwardSoakCaller
    ) -> None:
        """Simulate the disconnect of a caller whose answer has not ended."""
        if not forwarding.is_finished:
            forwarding.caller_disconnected()
            caller.is_broken = True
            caller.ended()

    def make_request(self, name: str) -> ForwardRequest:
        """Return a request on a route, with a key that may be revoked."""
        kind = KINDS[ROUTES[name]]
        number = len(self.callers)
        shared = f"shared{self.rng.randrange(4)}"
        prompt = Prompt(
            model=MODEL,
            tokens=3_000,
            max_tokens=200,
            expected_tokens=self.rng.choice((10, 150)),
            parts=(
                PromptPart(id="root", tokens=1_000),
                PromptPart(id=shared, tokens=1_500),
                PromptPart(id=f"own{number}", tokens=500),
            ),
        )
        return ForwardRequest(
            request_id=f"q{number}",
            host="h",
            path=f"/{name}/x",
            method=b"POST",
            request_target=f"/{name}/x".encode(),
            headers=[],
            body=f"body of q{number}".encode(),
            key=self.config.random_key(),
            arrived_s=self.clock.seconds(),
            read_s=self.clock.seconds(),
            deadline_s=kind.timeout_s,
            prompt=prompt if kind.is_stream else None,
        )

    # Checks.

    def check_revisions(self) -> None:
        """Check that no router reverts to an older configuration."""
        for router in self.processes.routers.values():
            revision = router.board.state.revision
            invariants.revision_forward(router.revision, revision)
            router.revision = revision

    def check_end(self) -> None:
        """Check what shows at the end, each promise by itself."""
        for check in (
            self.check_answers,
            self.ends.check_lost,
            self.ends.check_moves,
            self.check_weights,
            self.check_arrivals,
            self.check_crashers,
            self.check_recovery,
        ):
            with suppress(invariants.InvariantError):
                check()

    def check_answers(self) -> None:
        """Check the answers, and that each request ended in time."""
        for caller in self.callers:
            caller.check(self.world.runs[caller.request.request_id])
            self.ends.check_ended(caller, self.faults.pauses)

    def check_weights(self) -> None:
        """Check that all engines have the newest weights."""
        for target in self.world.targets.values():
            is_current = target.version == self.newest_version
            is_engine = target.is_up and target.entry.pool in ENGINE_POOLS
            invariants.check(
                is_current or not is_engine,
                "weights-arrive",
                f"target {target.entry.name} has version {target.version}, "
                f"newest is {self.newest_version}",
            )

    def check_arrivals(self) -> None:
        """Check what arrived at the targets."""
        for arrivals in self.world.arrivals.values():
            arrivals.check_repeats()
        self.world.crashing.check(FAULTY_S)

    def check_crashers(self) -> None:
        """Check that requests that crash targets are kept from them."""
        calm_since_s = max(FAULTY_S, self.faults.disturbed_until_s)
        for crasher in self.crashers.values():
            with suppress(invariants.InvariantError):
                crasher.crashing.check(calm_since_s)

    def check_recovery(self) -> None:
        """Check that service recovered after the faults."""
        since_s = FAULTY_S + SETTLE_S / 2
        recent = [
            caller
            for caller in self.callers
            if since_s <= caller.request.arrived_s <= since_s + 3.0
            and caller.request.key in self.config.valid_keys
            and self.world.crashing_of(caller.request) is None
        ]
        served = sum(item.is_served or item.is_broken for item in recent)
        invariants.check(
            served >= 0.95 * len(recent),
            "recovers",
            f"{served} of {len(recent)} requests served or broken off",
        )


def route_of(request: ForwardRequest) -> str:
    """Return the name of a request's route."""
    return request.path.split("/")[1]


def run_seed(seed: int) -> tuple[list[str], dict[str, int]]:
    """Run one seed; return its violations and counts."""
    soak = ForwardSoak(seed=seed)
    return soak.run(), soak.counts
