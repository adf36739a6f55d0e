"""Runs scripted sessions of the system, on a fixed seed and a virtual clock.

Each line is a step; the transcript holds the steps and the results that
callers and operators received.
Steps: ``prompt ID ROUTER TOKENS TEXT``, ``book ID ROUTER KEY BODY``,
``look ID ROUTER``, ``account ACCOUNT``, ``run SECONDS``,
``kill|pause|resume|restart PROCESS``, ``crash TARGET SECONDS``,
``log down|up|loses``, ``ops ROUTER STATEMENT``, ``executions KEY`` and
``leave ID``.
"""

from collections.abc import Callable

import attrs
from expression import Ok, Result
from twisted.internet.defer import Deferred

from sequoiawind import keys, language, openai_format, query, reports
from sequoiawind.admin import Admin
from sequoiawind.commands import Command
from sequoiawind.lab import engine_model
from sequoiawind.lab.engine_model import EngineParameters
from sequoiawind.lab.memory_network import Node
from sequoiawind.lab.plain_model import PlainModel
from sequoiawind.lab.rig import Rig, RigRouter, RigTarget, account_command
from sequoiawind.plan import CallerRequest
from sequoiawind.state import Operator
from sequoiawind.verdict import Failure, Reason, not_run
from sequoiawind.wire import Ended

OPERATOR = Operator(name="ops", role="operator")


@attrs.define(kw_only=True)
class SessionCaller:
    """A caller of a session."""

    name: str
    # The session's transcript.
    lines: list[str]
    prompt: str = ""
    tokens: int = 0
    chunks: list[bytes] = attrs.field(factory=list)
    end: Ended | None = None
    active_request: object = None

    def chunk(self, data: bytes) -> None:
        """Store a chunk of the answer."""
        self.chunks.append(data)

    def ended(self, ended: Ended) -> None:
        """Add the result that the caller received to the transcript."""
        self.end = ended
        self.lines.append(f"{self.name}: {self.describe_result(ended)}")

    def describe_result(self, ended: Ended) -> str:
        """Return the result that the caller received, as text."""
        if ended.failure is not None:
            failure = ended.failure
            again = ""
            if failure.retry_after_s is not None:
                again = f", come back after {failure.retry_after_s:.1f} s"
            return (
                f"{failure.http_status} {failure.verdict.value} "
                f"{failure.reason.value}{again}"
            )
        if ended.reply is not None:
            return f"{ended.reply.status} done"
        text = openai_format.joined_text(openai_format.TEXT_PATH, self.chunks)
        is_right = text == engine_model.expected_answer(
            self.prompt, self.tokens
        )
        cached = "warm" if ended.usage.cached_tokens else "cold"
        return f"whole answer, {'right' if is_right else 'WRONG'}, {cached}"


CONFIGURATION = """
create kind prompt with priority = 6
create kind action with repeat = never
create kind lookup
create pool engines with model = model, load_slots = 2
create pool service with service = plain
create route prompts with path = "/v1", pool = engines, kind = prompt, model = model
create route actions with path = "/actions", pool = service, kind = action
create route lookups with path = "/lookups", pool = service, kind = lookup
create target e1 with pool = engines, agent = e1
create target e2 with pool = engines, agent = e2
create target e3 with pool = engines, agent = e3
create target service with pool = service, agent = service
"""  # noqa: E501


def first_commands() -> list[Command]:
    """Return the commands that create a session's configuration."""
    return [
        account_command("nordlys", "nordlys"),
        account_command("petra", "petra"),
        *language.parse_commands(CONFIGURATION),
    ]


@attrs.define(kw_only=True)
class Session:
    """One session."""

    # Client account of the requests.
    account: str = "nordlys"
    rig: Rig = attrs.field(init=False)
    # The transcript.
    lines: list[str] = attrs.field(factory=list)
    callers: dict[str, SessionCaller] = attrs.field(factory=dict)
    # Idempotency keys by their names in the steps.
    keys: dict[str, str] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Start the system."""
        self.rig = Rig(seed=7, parameters=EngineParameters(load_time_s=2.0))
        self.rig.configure(first_commands())
        for name in ("e1", "e2", "e3"):
            self.rig.add_target(RigTarget(name=name, pool="engines"))
        self.rig.add_target(
            RigTarget(name="service", pool="service", service="plain")
        )
        self.rig.add_router("r0")
        self.rig.add_router("r1")
        self.rig.advance_to(2.0)

    def play(self, steps: str) -> str:
        """Run steps and return the transcript."""
        for step in steps.splitlines():
            words = step.split()
            if not words or words[0].startswith("#"):
                continue
            self.lines.append(f"> {step}")
            action: Callable[..., None] = getattr(self, f"do_{words[0]}")
            action(*words[1:])
        return "\n".join(self.lines)

    def router(self, name: str) -> RigRouter:
        """Return a router."""
        return self.rig.routers[int(name[1:])]

    def node(self, name: str) -> Node:
        """Return the node of a process."""
        if name.startswith("agent-"):
            return self.rig.agents[name.removeprefix("agent-")].node
        return self.router(name).node

    def do_account(self, account: str) -> None:
        """Send the following requests for another account."""
        self.account = account

    def do_prompt(
        self, name: str, router: str, tokens: str, *text: str
    ) -> None:
        """Send a prompt; the text is repeated to make it long."""
        prompt = " ".join(text) * 100 + name
        caller = SessionCaller(
            name=name, lines=self.lines, prompt=prompt, tokens=int(tokens)
        )
        request = CallerRequest(
            request_id=name,
            token=self.account,
            path=openai_format.TEXT_PATH,
            model="model",
            prompt=prompt,
            max_tokens=int(tokens),
        )
        self.submit(router, caller, request)

    def do_book(self, name: str, router: str, key: str, body: str) -> None:
        """Send an action that must not repeat, under an idempotency key."""
        if key not in self.keys:
            new_key = keys.make_key(self.rig.wall(), len(self.keys))
            self.keys[key] = new_key
        request = CallerRequest(
            request_id=name,
            token=self.account,
            path="/actions/x",
            body=body,
            idempotency_key=self.keys[key],
        )
        caller = SessionCaller(name=name, lines=self.lines)
        self.submit(router, caller, request)

    def do_look(self, name: str, router: str) -> None:
        """Send a lookup."""
        request = CallerRequest(
            request_id=name,
            token=self.account,
            path="/lookups/x",
            method="GET",
        )
        caller = SessionCaller(name=name, lines=self.lines)
        self.submit(router, caller, request)

    def submit(
        self, router: str, caller: SessionCaller, request: CallerRequest
    ) -> None:
        """Submit a request; a refusal is the caller's result."""
        self.callers[caller.name] = caller
        result = self.router(router).router.submit(request, caller)
        if result.is_error():
            caller.ended(Ended(failure=result.error))
        else:
            caller.active_request = result.ok

    def do_run(self, seconds: str) -> None:
        """Advance the clock."""
        self.rig.advance_to(self.rig.clock.seconds() + float(seconds))

    def do_kill(self, name: str) -> None:
        """Kill a process."""
        self.node(name).kill()

    def do_pause(self, name: str) -> None:
        """Pause a process."""
        self.node(name).pause()

    def do_resume(self, name: str) -> None:
        """Resume a paused process."""
        self.node(name).resume()

    def do_restart(self, name: str) -> None:
        """Replace a killed process."""
        if name.startswith("agent-"):
            self.rig.restart_agent(name.removeprefix("agent-"))
        else:
            self.rig.restart_router(int(name[1:]))

    def do_crash(self, name: str, seconds: str) -> None:
        """Crash a target; it refuses new work for some seconds."""
        self.rig.agents[name].target.crash(float(seconds))

    def do_log(self, mode: str) -> None:
        """Take the log down or up, or let its answers to appends be lost."""
        self.rig.log.is_down = mode == "down"
        self.rig.log.lost_answers = 1.0 if mode == "loses" else 0.0

    def do_leave(self, name: str) -> None:
        """Cancel a caller's request, as if the caller had disconnected."""
        self.callers[name].active_request.cancel()

    def do_executions(self, key: str) -> None:
        """Add to the transcript how often a key's action ran."""
        service = self.rig.agents["service"].target
        assert isinstance(service, PlainModel)
        count = service.by_key[f"{self.account}/{self.keys[key]}"]
        self.lines.append(f"executed {count} times")

    def do_ops(self, router: str, *words: str) -> None:
        """Run an operator's statement."""
        text = " ".join(words)
        for name, key in self.keys.items():
            text = text.replace(f"KEY:{name}", f'"{self.account}/{key}"')
        done = Deferred.fromCoroutine(self.admin(router).run(text, OPERATOR))
        done.addCallback(self.write_answer)
        self.do_run("1.5")

    def write_answer(self, result: Result) -> None:
        """Add the answer that an operator received to the transcript."""
        if result.is_error():
            self.lines.append(f"{result.error.status} {result.error.message}")
            return
        table = query.format_answer(attrs.evolve(result.ok, oldest_s=0.0))
        for key, value in self.keys.items():
            table = table.replace(value, f"KEY:{key}")
        self.lines += table.splitlines()

    def admin(self, name: str) -> Admin:
        """Return the object that runs operators' statements at a router."""
        router = self.router(name)
        return Admin(
            name=name,
            domain="d",
            board=router.board,
            follower=router.follower,
            claimant=router.router.claimant,
            clock=router.router.exchange_context.clock,
            request_report=self.request_report,
            routers=[
                other.node.name
                for other in self.rig.routers
                if other.node.name != name
            ],
        )

    def request_report(
        self, address: str
    ) -> Deferred[Result[reports.DaemonReport, Failure]]:
        """Request the report of a daemon."""
        done: Deferred[Result[reports.DaemonReport, Failure]] = Deferred()
        down = not_run(Reason.CONNECT_FAILED, "down")
        for other in self.rig.routers:
            if other.node.name == address and other.node.is_up:
                done.callback(Ok(self.admin(address).own_report()))
                return done
        agent = self.rig.agents.get(address)
        if agent is not None and agent.node.is_up:
            report = reports.agent_report(
                agent.node.name, "d", agent.agent, agent.board
            )
            done.callback(Ok(report))
        else:
            done.callback(Result.Error(down))
        return done
