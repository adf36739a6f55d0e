"""Ways on which an accepted request could still lose its answer."""

import attrs
from expression import Error, Ok
from testtools import TestCase
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from sequoiawind.caller_site import CallerSite
from sequoiawind.crash_evidence import Suspect
from sequoiawind.forward_ports import AnswerHead, ForwardSink, SendOrder
from sequoiawind.forward_state import (
    ForwardAccount,
    ForwardPool,
    ForwardRoute,
)
from sequoiawind.headers import CallerLimits, Framing
from sequoiawind.platform import callers
from sequoiawind.staged_close import StagedCloser
from sequoiawind.stream_move import move_away
from sequoiawind.tokens import token_digest
from sequoiawind.verdict import Reason, Verdict, may_have_run, not_run
from tests.forward_rig import (
    KINDS,
    FakeCall,
    FakePort,
    ForwardRig,
    state,
    target,
)

OTHER_ACCOUNTS = {
    "b/0": ForwardAccount(name="b", token_digest=token_digest("key-of-b"))
}
LOST = may_have_run(Reason.CONNECTION_LOST, "lost")
BUSY = not_run(Reason.TARGET_BUSY, "busy")
UNREACHED = not_run(Reason.CONNECT_FAILED, "refused")


class FailingPort(FakePort):
    """A port with a fault."""

    def send(self, order: SendOrder, sink: ForwardSink) -> FakeCall:
        """Raise an exception."""
        raise ValueError("a fault")


class UnsentTransport(StringTransport):
    """A transport whose peer reads nothing."""

    def loseWriteConnection(self) -> None:
        """Wait for the unsent bytes."""


class Handle:
    """A socket whose options have no effect."""

    def setsockopt(self, *args: object) -> None:
        """Ignore an option."""


class CallerTransport(StringTransport):
    """A caller's connection."""

    def setTcpNoDelay(self, on: bool) -> None:
        """Ignore the option."""

    def setTcpKeepAlive(self, on: bool) -> None:
        """Ignore the option."""

    def getHandle(self) -> Handle:
        """Return the socket."""
        return Handle()


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return b"id: %d\ndata: x\n\n" % number


def events(*numbers: int) -> bytes:
    """Return several events of a stream."""
    return b"".join(event(number) for number in numbers)


def rig_with(engines: int = 2) -> ForwardRig:
    """Return a router with idle targets."""
    rig = ForwardRig()
    rig.add(*(target(f"e{n}", "llm") for n in range(engines)))
    rig.add(target("t0"), target("t1"))
    return rig


def no_repeats(rig: ForwardRig) -> None:
    """Allow no further repeats."""
    rig.forwarder.window.allowance = 0.0
    rig.forwarder.window.ratio = 0.0


class LostAnswerTest(TestCase):
    """Each test is one sequence that a review of the mends found."""

    def test_silent_stream_whose_route_becomes_a_call(self) -> None:
        rig = rig_with()
        caller = rig.submit("draft")
        rig.port.sent[0].begin(200, event(1))
        never = next(
            k for k, v in KINDS.items() if not v.may_repeat and not v.is_stream
        )
        route = ForwardRoute(
            name="draft", host="h", path="/draft/", kind=never, pool="llm"
        )
        rig.configure(state(revision=2, routes={"draft": route}))
        rig.advance(1.5)
        rig.port.sent[0].sink.data(events(2, 3, 4))
        rig.port.sent[0].sink.done()
        self.assertFalse(caller.is_broken)
        self.assertEqual(events(1, 2, 3, 4), caller.body)

    def test_pool_of_a_stream_that_begins_after_its_silence(self) -> None:
        rig = rig_with()
        caller = rig.submit("draft")
        rig.advance(1.0)
        routes = {
            n: ForwardRoute(
                name=n, host="h", path=f"/{n}/", kind=n, pool="empty"
            )
            for n in KINDS
        }
        rig.configure(
            state(
                revision=2,
                routes=routes,
                pools={
                    "llm": ForwardPool(name="llm", models=("m",)),
                    "empty": ForwardPool(name="empty", models=("m",)),
                },
            )
        )
        rig.advance(1.6)
        self.assertEqual(1, len(rig.port.sent))
        rig.port.sent[0].begin(200, event(1))
        rig.port.sent[0].sink.failed(LOST)
        self.assertEqual(2, len(rig.port.sent))
        self.assertFalse(caller.is_broken)

    def test_permission_kept_while_the_run_may_be_stopped(self) -> None:
        rig = rig_with(3)
        pools = {"llm": ForwardPool(name="llm", models=("m",), has_moves=True)}
        rig.configure(state(revision=2, pools=pools))
        caller = rig.submit("draft")
        rig.port.sent[0].begin(200, event(1))
        (forwarding,) = rig.forwarder.open
        move_away(forwarding)
        no_repeats(rig)
        rig.port.move_answers[0].callback(
            Error(may_have_run(Reason.START_TIMEOUT))
        )
        rig.port.sent[0].sink.data(event(2))
        rig.port.sent[0].sink.failed(LOST)
        self.assertFalse(caller.is_broken)

    def test_move_with_two_engines_refused(self) -> None:
        rig = rig_with(2)
        pools = {"llm": ForwardPool(name="llm", models=("m",), has_moves=True)}
        rig.configure(state(revision=2, pools=pools))
        caller = rig.submit("draft")
        rig.port.sent[0].begin(200, event(1))
        (forwarding,) = rig.forwarder.open
        now = rig.clock.seconds()
        move_away(forwarding)
        source = rig.port.sent[0].order.target.name
        rig.fleet.record_notice(rig.fleet.views[source], False, 3.0, now)
        rig.port.move_answers[0].callback(Ok("ip:1/h"))
        rig.port.sent[0].sink.failed(LOST)
        rig.port.sent[1].answer(503, refusal=BUSY)
        rig.advance(2.0)
        self.assertFalse(caller.is_broken)

    def test_connect_failures_cost_one_repeat(self) -> None:
        rig = rig_with(4)
        rig.submit("draft")
        rig.port.sent[0].begin(200, event(1))
        rig.advance(1.5)
        rig.port.sent[1].sink.failed(UNREACHED)
        rig.advance(0.3)
        rig.port.sent[2].sink.failed(UNREACHED)
        rig.advance(0.3)
        self.assertEqual(4, len(rig.port.sent))
        repeats = rig.forwarder.window.sends_of(
            "llm", rig.clock.seconds()
        ).repeats_s
        self.assertEqual(1, len(repeats))

    def test_successor_that_has_begun_an_event(self) -> None:
        rig = rig_with()
        rig.submit("draft")
        rig.port.sent[0].begin(200, event(1))
        rig.advance(1.5)
        rig.port.sent[1].begin(200, b"id: 2\ndata:")
        rig.advance(0.5)
        self.assertTrue(any(s.call.is_cancelled for s in rig.port.sent))

    def test_empty_end_of_successor_is_no_end_of_the_stream(self) -> None:
        rig = rig_with()
        caller = rig.submit("draft")
        rig.port.sent[0].begin(200, event(1))
        rig.advance(1.5)
        rig.port.sent[1].sink.head(
            AnswerHead(status=200, headers=[], framing=Framing.CONNECTION)
        )
        rig.port.sent[1].sink.done()
        rig.port.sent[0].sink.data(events(2, 3, 4))
        rig.port.sent[0].sink.done()
        self.assertEqual(events(1, 2, 3, 4), caller.body)

    def test_error_of_a_second_target_leaves_a_third(self) -> None:
        rig = rig_with(3)
        kinds = {n: attrs.evolve(k, max_targets=3) for n, k in KINDS.items()}
        rig.configure(state(revision=2, kinds=kinds))
        caller = rig.submit("draft")
        rig.port.sent[0].begin(200, event(1))
        rig.port.sent[0].sink.failed(LOST)
        rig.port.sent[1].answer(500, b"bad")
        self.assertFalse(caller.is_broken)
        self.assertEqual(3, len(rig.port.sent))

    def test_error_answer_is_kept_for_want_of_a_better(self) -> None:
        rig = rig_with()
        caller = rig.submit("read")
        rig.port.sent[0].answer(500, b"whole error")
        rig.port.sent[1].answer(503, refusal=BUSY)
        self.assertEqual([500], caller.statuses)

    def test_never_repeated_request_keeps_its_time(self) -> None:
        rig = rig_with()
        name = next(
            k for k, v in KINDS.items() if not v.may_repeat and not v.is_stream
        )
        caller = rig.submit(name)
        rig.advance(1.0)
        kinds = {n: attrs.evolve(k, timeout_s=0.5) for n, k in KINDS.items()}
        rig.configure(state(revision=2, kinds=kinds))
        rig.port.sent[0].answer(503, refusal=BUSY)
        self.assertEqual(2, len(rig.port.sent))
        self.assertIsNone(caller.failure)

    def test_run_with_a_revoked_key_is_not_moved(self) -> None:
        rig = rig_with(3)
        pools = {"llm": ForwardPool(name="llm", models=("m",), has_moves=True)}
        rig.configure(state(revision=2, pools=pools))
        caller = rig.submit("draft")
        rig.port.sent[0].begin(200, event(1))
        (forwarding,) = rig.forwarder.open
        rig.configure(state(revision=3, pools=pools, accounts=OTHER_ACCOUNTS))
        move_away(forwarding)
        if rig.port.moves:
            rig.port.move_answers[0].callback(Ok("ip:1/h"))
            rig.port.sent[0].sink.failed(LOST)
            rig.port.sent[1].answer(503, refusal=BUSY)
        self.assertFalse(caller.is_broken)

    def test_silent_stream_whose_prompt_is_doubtful_is_not_sent_on(
        self,
    ) -> None:
        rig = rig_with(3)
        rig.submit("draft")
        rig.port.sent[0].begin(200, event(1))
        (forwarding,) = rig.forwarder.open
        names = forwarding.signature.names
        suspects = [
            Suspect(part=n, depth=d, is_proven=False)
            for d, n in enumerate(names)
        ]
        for n in range(2):
            rig.forwarder.crashes.crashed((f"x{n}", 1), suspects, 0)
        self.assertFalse(rig.forwarder.crashes.may_repeat(forwarding.signature))
        rig.advance(1.5)
        self.assertEqual(1, len(rig.port.sent))

    def test_what_must_no_longer_repeat_after_an_error_answer(self) -> None:
        rig = rig_with()
        rig.submit("read")
        kinds = {**KINDS, "read": attrs.evolve(KINDS["read"], repeat="never")}
        rig.configure(state(revision=2, kinds=kinds))
        rig.port.sent[0].answer(500, b"bad")
        self.assertEqual(1, len(rig.port.sent))

    def test_process_waits_for_unsent_answers(self) -> None:
        closer = StagedCloser(clock=Clock())

        closer.close(UnsentTransport(), holds_stop=False)
        self.assertFalse(closer.is_idle)

    def test_whole_request_with_an_odd_number_is_answered(self) -> None:
        rig = rig_with()
        site = CallerSite(
            clock=Clock(),
            on_request=lambda request, conn: rig.forwarder.submit(
                callers.decode_request(request), callers.Caller(connection=conn)
            ),
            limits=CallerLimits,
            on_refusal=lambda reason: None,
        )
        connection = site.buildProtocol(None)
        transport = CallerTransport()
        connection.makeConnection(transport)
        connection.dataReceived(
            b"POST /read/x HTTP/1.1\r\nHost: h\r\n"
            b"Authorization: Token key-of-a\r\n"
            b"Sequoiawind-Deadline-Ms: "
            + b"9" * 400
            + b"\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertEqual(1, len(rig.port.sent))

    def test_whole_request_that_meets_a_fault_of_ours_is_answered(self) -> None:
        rig = rig_with()

        rig.forwarder.port = FailingPort()
        caller = rig.submit("read")
        assert caller.failure is not None
        self.assertEqual(Reason.INTERNAL_ERROR, caller.failure.reason)
        self.assertEqual(Verdict.MAY_HAVE_RUN, caller.failure.verdict)
        self.assertEqual(0, rig.forwarder.open_requests)
