"""Runs operators' statements at one router.

Queries collect the reports of all daemons and state how many answered.
Commands are appended to the log and answered once their result is known.
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

ReportRequester = Callable[[str], Deferred[Result[DaemonReport, Failure]]]


@attrs.frozen(kw_only=True)
class Refusal:
    """Why a statement was refused, with an HTTP status."""

    status: int
    message: str


@attrs.frozen(kw_only=True)
class Survey:
    """The reports of all daemons, and the addresses that did not answer."""

    reports: list[DaemonReport]
    # Number of daemons, this one included.
    expected: int
    missing: tuple[str, ...]


@attrs.define(kw_only=True)
class Admin:
    """Runs the statements of operators."""

    name: str
    domain: str
    board: Blackboard
    follower: ConfigFollower
    claimant: Claimant
    clock: Clock
    # Requests the report of the daemon at an address.
    request_report: ReportRequester
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
        """Answer with the data on a request."""
        survey = await self.survey()
        found: list[Row] = [
            row
            for report in survey.reports
            for row in report.rows.get("requests", [])
            if row["id"] == statement.request_id
        ]
        if not found:
            message = f"no daemon has data on request {statement.request_id}"
            return Ok(self.answer(survey, message=message))
        rows = tuple((name, value) for name, value in found[0].items())
        return Ok(self.answer(survey, columns=("field", "value"), rows=rows))

    async def settle(
        self, statement: SettleKey, operator: Operator
    ) -> Result[Answer, Refusal]:
        """Record an operator's finding about a key.

        A key settled as not run stays refused, because its claimant may be
        paused and send late; the caller has to use another key.
        """
        stream = self.claimant.stream(statement.key)
        await stream.catch_up()
        entry = stream.table.entries.get(statement.key)
        if entry is None:
            return Error(Refusal(status=404, message="no such key"))
        if entry.outcome is not None and entry.outcome.known:
            return Error(
                Refusal(status=409, message="the key already has an outcome")
            )
        node = claims.Settle(
            key=statement.key,
            ran=statement.ran,
            actor=operator.name,
            because=statement.because,
        )
        appended = await stream.appender.append(claims.make_record(node))
        if appended.is_error() or (await stream.catch_up()).is_error():
            message = "the log did not confirm the record; try again"
            return Error(Refusal(status=503, message=message))
        outcome = "ran" if statement.ran else "not run"
        message = f"key {statement.key} settled as {outcome}"
        return Ok(self.answer(self.own_survey(), message=message))

    async def change(
        self, statement: Change, operator: Operator
    ) -> Result[Answer, Refusal]:
        """Submit a command and answer with its result."""
        result = await self.follower.submit(
            statement.command, operator.name, statement.based_on
        )
        if result.is_error():
            failure = result.error
            status = "not accepted"
            if failure.verdict is Verdict.MAY_HAVE_RUN:
                status = "unknown"
            message = f"{status}: {failure.detail}"
            return Error(Refusal(status=503, message=message))
        decision = result.ok
        message = f"accepted at revision {decision.offset}"
        if decision.rejection:
            message = f"rejected: {decision.rejection}"
        return Ok(
            self.answer(
                self.own_survey(),
                message=message,
                is_accepted=not decision.rejection,
            )
        )

    async def survey(self) -> Survey:
        """Collect the reports of all daemons."""
        addresses = [*self.routers, *self.agent_addresses()]
        answers = await gatherResults(
            [self.request_report(address) for address in addresses]
        )
        received = [self.own_report()]
        missing: list[str] = []
        for address, answer in zip(addresses, answers, strict=True):
            if answer.is_ok():
                received.append(answer.ok)
            else:
                missing.append(address)
        return Survey(
            reports=received,
            expected=1 + len(addresses),
            missing=tuple(missing),
        )

    def own_survey(self) -> Survey:
        """Return the report of this daemon alone, as a survey."""
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
        """Return the rows of the claims that this daemon has read."""
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
        """Return an answer that states how many daemons answered."""
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


def claim_row(entry: claims.ClaimEntry) -> Row:
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
