"""Running an operator's statement, at one router.

Queries ask all daemons and say who answered.  Commands go through the log
and are answered once their fate is known.
"""

from collections.abc import Callable, Sequence

import attrs
from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, gatherResults

from sequoiawind import claims, language, query, reports
from sequoiawind.blackboard import Blackboard
from sequoiawind.claimant import Claimant
from sequoiawind.config_follower import ConfigFollower
from sequoiawind.language import Change, ExplainRequest, SettleKey, Show
from sequoiawind.ports import Clock
from sequoiawind.query import Answer
from sequoiawind.reports import DaemonReport, Row
from sequoiawind.state import Operator
from sequoiawind.verdict import Failure, Reason, Verdict

AskPeer = Callable[[str], Deferred[Result[DaemonReport, Failure]]]


@attrs.frozen(kw_only=True)
class Refusal:
    """Why a statement was not answered."""

    status: int
    message: str


@attrs.frozen(kw_only=True)
class Survey:
    """What all daemons told."""

    reports: list[DaemonReport]
    expected: int
    missing: tuple[str, ...]


@attrs.define(kw_only=True)
class Admin:
    """Answers operators."""

    name: str
    domain: str
    board: Blackboard
    follower: ConfigFollower
    claimant: Claimant
    clock: Clock
    # Asks the daemon at an address for its report.
    ask: AskPeer
    # Addresses of the other routers.
    routers: Sequence[str] = ()

    async def run(
        self, text: str, operator: Operator
    ) -> Result[Answer, Refusal]:
        """Run one statement."""
        parsed = language.parse(text)
        if parsed.is_error():
            return Error(Refusal(status=400, message=str(parsed.error)))
        statement = parsed.ok
        if isinstance(statement, Show):
            return await self.show(statement)
        if isinstance(statement, ExplainRequest):
            return await self.explain(statement)
        if operator.role != "operator":
            return Error(Refusal(status=403, message=Reason.FORBIDDEN.value))
        if isinstance(statement, SettleKey):
            return await self.settle(statement, operator)
        return await self.change(statement, operator)

    async def show(self, statement: Show) -> Result[Answer, Refusal]:
        """Answer a query."""
        survey = await self.survey()
        rows = query.table_rows(
            statement.table,
            self.board.state,
            self.board.members,
            survey.reports,
            self.clock.seconds(),
        )
        selected = query.select(statement, rows)
        if selected.is_error():
            return Error(Refusal(status=400, message=selected.error))
        columns, kept = selected.ok
        return Ok(self.answer(survey, columns=columns, rows=tuple(kept)))

    async def explain(
        self, statement: ExplainRequest
    ) -> Result[Answer, Refusal]:
        """Tell what is known of a request."""
        survey = await self.survey()
        found: list[Row] = [
            row
            for report in survey.reports
            for row in report.rows.get("requests", [])
            if row["id"] == statement.request_id
        ]
        if not found:
            message = f"no daemon remembers request {statement.request_id}"
            return Ok(self.answer(survey, message=message))
        rows = tuple((name, value) for name, value in found[0].items())
        return Ok(self.answer(survey, columns=("field", "value"), rows=rows))

    async def settle(
        self, statement: SettleKey, operator: Operator
    ) -> Result[Answer, Refusal]:
        """Record an operator's finding about a key.

        A key settled as not run stays refused, because its claimant may be
        paused and send late; the caller books anew with another key.
        """
        stream = self.claimant.stream(statement.key)
        await stream.catch_up()
        entry = stream.table.entries.get(statement.key)
        if entry is None:
            return Error(Refusal(status=404, message="no such key"))
        if entry.outcome is not None and entry.outcome.known:
            return Error(Refusal(status=409, message="the key has an outcome"))
        node = claims.Settle(
            key=statement.key,
            ran=statement.ran,
            actor=operator.name,
            because=statement.because,
        )
        appended = await stream.appender.append(claims.make_record(node))
        if appended.is_error() or (await stream.catch_up()).is_error():
            message = "the log did not confirm; ask again"
            return Error(Refusal(status=503, message=message))
        word = "ran" if statement.ran else "not run"
        message = f"key {statement.key} settled as {word}"
        return Ok(self.answer(self.alone(), message=message))

    async def change(
        self, statement: Change, operator: Operator
    ) -> Result[Answer, Refusal]:
        """Submit a command."""
        result = await self.follower.submit(
            statement.command, operator.name, statement.based_on
        )
        if result.is_error():
            failure = result.error
            word = "not accepted"
            if failure.verdict is Verdict.MAY_HAVE_RUN:
                word = "unknown"
            message = f"{word}: {failure.detail}"
            return Error(Refusal(status=503, message=message))
        decision = result.ok
        message = f"accepted at revision {decision.offset}"
        if decision.rejection:
            message = f"rejected: {decision.rejection}"
        return Ok(
            self.answer(
                self.alone(),
                message=message,
                is_accepted=not decision.rejection,
            )
        )

    async def survey(self) -> Survey:
        """Ask all daemons for their reports."""
        addresses = [*self.routers, *self.agent_addresses()]
        answers = await gatherResults(
            [self.ask(address) for address in addresses]
        )
        told = [self.own_report()]
        missing: list[str] = []
        for address, answer in zip(addresses, answers, strict=True):
            if answer.is_ok():
                told.append(answer.ok)
            else:
                missing.append(address)
        return Survey(
            reports=told,
            expected=1 + len(addresses),
            missing=tuple(missing),
        )

    def alone(self) -> Survey:
        """Return a survey of this daemon only."""
        return Survey(reports=[self.own_report()], expected=1, missing=())

    def agent_addresses(self) -> list[str]:
        """Return the addresses of all agents in the configuration."""
        agents = {
            target.agent
            for target in self.board.state.targets.values()
            if target.agent
        }
        return sorted(agents)

    def own_report(self) -> DaemonReport:
        """Return this daemon's own report."""
        return reports.router_report(
            self.name,
            self.domain,
            self.board,
            self.claim_rows(),
            self.clock.seconds(),
        )

    def claim_rows(self) -> list[Row]:
        """Return the claims that this daemon knows of."""
        rows: list[Row] = []
        for stream in self.claimant.streams.values():
            for entry in stream.table.entries.values():
                rows.append(claim_row(entry))
        return rows

    def answer(
        self,
        survey: Survey,
        columns: tuple[str, ...] = (),
        rows: tuple[tuple[reports.Scalar, ...], ...] = (),
        message: str = "",
        is_accepted: bool = True,
    ) -> Answer:
        """Return an answer with its origin."""
        checked_s = self.board.config_checked_s
        age_s = self.clock.seconds() - checked_s if checked_s >= 0 else -1.0
        return Answer(
            revision=self.board.state.revision,
            expected=survey.expected,
            answered=len(survey.reports),
            missing=survey.missing,
            oldest_s=round(age_s, 3),
            columns=columns,
            rows=rows,
            message=message,
            is_accepted=is_accepted,
        )


def claim_row(entry: claims.Entry) -> Row:
    """Return the row of a claim."""
    if entry.settled is not None:
        state = "settled"
    elif entry.is_stuck:
        state = "stuck"
    else:
        state = "running" if entry.is_open else "done"
    return {
        "key": entry.claim.key,
        "state": state,
        "kind": entry.claim.kind,
        "owner": entry.claim.owner,
        "request": entry.claim.request_id,
        "offset": entry.offset,
    }
