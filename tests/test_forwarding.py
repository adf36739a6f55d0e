"""Forwarded requests: repeats, reported statuses, and complete answers."""

from typing import Any

from testtools import TestCase

from sequoiawind.forward_ports import AnswerHead
from sequoiawind.forward_state import ForwardAccount, ForwardPool
from sequoiawind.forwarder import Forwarder
from sequoiawind.forwarding import Forwarding
from sequoiawind.verdict import (
    Reason,
    Verdict,
    forwarded_status,
    may_have_run,
    not_run,
)
from sequoiawind.wire import TargetStatus
from tests.forward_rig import FakeCaller, ForwardRig, state, target

BUSY = not_run(Reason.TARGET_BUSY, "busy")
LOST = may_have_run(Reason.CONNECTION_LOST, "lost")
UNREACHED = not_run(Reason.CONNECT_FAILED, "refused")


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return b"id: %d\ndata: x\n\n" % number


class RepeatTest(TestCase):
    """A request that may have run is repeated only if its kind allows that."""

    def rig(self) -> ForwardRig:
        rig = ForwardRig()
        rig.add(target("t1"), target("t2"))
        rig.add(target("e1", "llm"), target("e2", "llm"))
        return rig

    def test_lost_connection_is_repeated_only_if_the_kind_allows(self) -> None:
        # The route, and how often the request is sent in all.
        for route, sends in (("read", 2), ("book", 1), ("brief", 1)):
            rig = self.rig()
            caller = rig.submit(route)
            rig.port.sent[0].sink.failed(LOST)
            self.assertEqual(sends, len(rig.port.sent), route)
            if sends == 1:
                assert caller.failure is not None
                self.assertEqual(502, forwarded_status(caller.failure))

    def test_refusal_is_repeated_for_every_kind(self) -> None:
        for route in ("read", "book", "brief", "draft"):
            rig = self.rig()
            caller = rig.submit(route)
            rig.port.sent[0].answer(503, refusal=BUSY)
            self.assertEqual(2, len(rig.port.sent), route)
            first, second = (item.order.target.name for item in rig.port.sent)
            self.assertNotEqual(first, second)
            rig.port.sent[1].answer(200, event(1))
            self.assertEqual([200], caller.statuses, route)
            self.assertEqual(event(1), caller.body)

    def test_refused_by_all_is_reported_as_not_run(self) -> None:
        rig = self.rig()
        caller = rig.submit("book")
        rig.port.sent[0].answer(503, refusal=BUSY)
        rig.port.sent[-1].answer(503, refusal=BUSY)
        failure = caller.failure
        assert failure is not None
        self.assertEqual(Verdict.NOT_RUN, failure.verdict)
        self.assertEqual(503, forwarded_status(failure))
        self.assertTrue(failure.retry_after_s)

    def test_refusal_after_a_possible_run_may_have_run(self) -> None:
        rig = self.rig()
        caller = rig.submit("read")
        rig.port.sent[0].sink.failed(LOST)
        rig.port.sent[1].answer(503, refusal=BUSY)
        assert caller.failure is not None
        self.assertEqual(502, forwarded_status(caller.failure))

    def test_unopened_connection_does_not_count_as_a_target(self) -> None:
        rig = self.rig()
        caller = rig.submit("brief")
        rig.port.sent[0].sink.failed(UNREACHED)
        rig.port.sent[1].answer(200, event(1))
        self.assertEqual([200], caller.statuses)

    def test_target_failure_is_passed_on_unless_another_can_answer(
        self,
    ) -> None:
        rig = self.rig()
        caller = rig.submit("read")
        rig.port.sent[0].answer(500, b"bad")
        rig.port.sent[1].answer(500, b"bad again")
        self.assertEqual([500], caller.statuses)
        self.assertEqual(b"bad again", caller.body)
        caller = rig.submit("book")
        rig.port.sent[2].answer(500, b"bad")
        self.assertEqual([500], caller.statuses)

    def test_repeats_are_bounded(self) -> None:
        rig = self.rig()
        rig.forwarder.window.allowance = 0.0
        rig.forwarder.window.ratio = 0.0
        caller = rig.submit("read")
        rig.port.sent[0].sink.failed(LOST)
        self.assertEqual(1, len(rig.port.sent))
        assert caller.failure is not None
        self.assertEqual(502, forwarded_status(caller.failure))


class StreamTest(TestCase):
    """Streams arrive complete, in order, and without gaps or repeats."""

    def rig(self) -> ForwardRig:
        rig = ForwardRig()
        rig.add(target("e1", "llm"), target("e2", "llm"))
        return rig

    def test_resumed_after_the_last_complete_event(self) -> None:
        rig = self.rig()
        caller = rig.submit("draft")
        rig.port.sent[0].begin(200, event(1) + event(2) + b"id: 3\nda")
        rig.port.sent[0].sink.failed(LOST)
        second = rig.port.sent[1]
        self.assertEqual(2, second.order.after_event)
        second.answer(200, event(3) + event(4))
        expected = b"".join(event(number) for number in (1, 2, 3, 4))
        self.assertEqual(expected, caller.body)
        self.assertTrue(caller.is_ended)
        self.assertEqual([200], caller.statuses)

    def test_prefill_is_pending_until_the_stream_begins(self) -> None:
        rig = ForwardRig()
        rig.add(target("e1", "llm"))
        rig.submit("draft")
        view = rig.fleet.views["e1"]
        self.assertEqual(
            (1, 300), (view.pending_prefills, view.pending_prefill_tokens)
        )
        rig.port.sent[0].begin(200, event(1))
        self.assertEqual(
            (0, 0), (view.pending_prefills, view.pending_prefill_tokens)
        )
        self.assertEqual(1, view.open_requests)
        rig.port.sent[0].sink.done()
        self.assertEqual(
            (0, 0, 0),
            (
                view.pending_prefills,
                view.pending_prefill_tokens,
                view.open_requests,
            ),
        )

    def test_repeated_events_are_dropped(self) -> None:
        rig = self.rig()
        caller = rig.submit("draft")
        rig.port.sent[0].begin(200, event(1) + event(2))
        rig.port.sent[0].sink.failed(LOST)
        rig.port.sent[1].answer(200, event(2) + event(3))
        self.assertEqual(event(1) + event(2) + event(3), caller.body)

    def test_broken_stream_does_not_look_complete(self) -> None:
        rig = self.rig()
        caller = rig.submit("brief")
        rig.port.sent[0].begin(200, event(1))
        rig.port.sent[0].sink.failed(LOST)
        self.assertTrue(caller.is_broken)
        self.assertFalse(caller.is_ended)

    def test_slow_stream_is_kept_and_a_stalled_one_is_not(self) -> None:
        # Events that come just before each timeout never end the stream, and
        # the timeout counts from the last of them.
        rig = self.rig()
        rig.submit("draft")
        sent = rig.port.sent[0]
        sent.begin(200, event(1))
        for number in range(2, 4):
            rig.advance(1.1)
            sent.sink.data(event(number))
        self.assertFalse(sent.call.is_cancelled)
        rig.advance(1.1)
        self.assertEqual(1, len(rig.port.sent))
        rig.advance(0.2)
        self.assertEqual(2, len(rig.port.sent))
        self.assertEqual(3, rig.port.sent[1].order.after_event)
        self.assertFalse(sent.call.is_cancelled)
        rig.port.sent[1].begin(200, event(4))
        self.assertTrue(sent.call.is_cancelled)

    def test_silent_stream_is_resumed_at_another_target(self) -> None:
        rig = self.rig()
        caller = rig.submit("draft")
        rig.port.sent[0].begin(200, event(1))
        rig.advance(1.5)
        self.assertFalse(rig.port.sent[0].call.is_cancelled)
        rig.port.sent[1].answer(200, event(2))
        self.assertTrue(rig.port.sent[0].call.is_cancelled)
        self.assertEqual(event(1) + event(2), caller.body)


class NoticeTest(TestCase):
    """What a target states of itself holds whatever else is known of it."""

    def rig(self) -> ForwardRig:
        rig = ForwardRig()
        rig.add(target("t1"), target("t2"))
        return rig

    def names(self, rig: ForwardRig, count: int) -> set[str]:
        """Return the targets of the next calls, which succeed."""
        found = set()
        for _ in range(count):
            rig.submit("read")
            sent = rig.port.sent[-1]
            found.add(sent.order.target.name)
            sent.answer(200)
        return found

    def state_notice(self, rig: ForwardRig, status: int, **stated: Any) -> str:
        """Let the next target state something; return its name."""
        rig.submit("read")
        sent = rig.port.sent[-1]
        sent.sink.head(AnswerHead(status=status, headers=[], **stated))
        sent.sink.done()
        rig.port.sent[-1].answer(200)
        return sent.order.target.name

    def test_leaving_target_gets_no_more_requests(self) -> None:
        rig = self.rig()
        name = self.state_notice(rig, 200, is_leaving=True)
        self.assertNotIn(name, self.names(rig, 6))
        # Its entry lapses, and returns with the same start.
        rig.fleet.remove(name, rig.clock.seconds())
        rig.add(target(name))
        self.assertNotIn(name, self.names(rig, 6))
        rig.fleet.put(target(name, born_ms=9))
        self.assertIn(name, self.names(rig, 6))

    def test_target_that_wants_nothing_for_a_while_gets_nothing(self) -> None:
        rig = self.rig()
        name = self.state_notice(rig, 503, refusal=BUSY, pause_s=3.0)
        for _ in range(5):
            rig.advance(0.55)
            self.assertNotIn(name, self.names(rig, 4))
        rig.fleet.remove(name, rig.clock.seconds())
        rig.add(target(name))
        self.assertNotIn(name, self.names(rig, 4))
        rig.advance(0.5)
        self.assertIn(name, self.names(rig, 8))

    def test_requests_wait_or_end_while_no_target_wants_them(self) -> None:
        rig = ForwardRig()
        rig.add(target("t1"))
        caller = rig.submit("book")
        rig.port.sent[0].sink.head(
            AnswerHead(status=503, headers=[], refusal=BUSY, pause_s=4.0)
        )
        rig.port.sent[0].sink.done()
        rig.advance(3.0)
        self.assertEqual(1, len(rig.port.sent))
        assert caller.failure is not None
        self.assertEqual(503, forwarded_status(caller.failure))

    def test_run_is_not_moved_from_a_target_that_wants_nothing(self) -> None:
        rig = ForwardRig()
        pool = ForwardPool(
            name="llm", models=("m",), memory_tokens=10_000, has_moves=True
        )
        pools = {**rig.board.state.pools, "llm": pool}
        rig.configure(state(2, pools=pools))
        rig.add(target("e1", "llm"), target("e2", "llm"))
        rig.submit("draft")
        sent = rig.port.sent[0]
        name = sent.order.target.name
        sent.begin(200, event(1))
        view = rig.fleet.views[name]
        rig.fleet.record_notice(view, False, 5.0, rig.clock.seconds())
        loading = TargetStatus(target=name, is_loading=True)
        rig.fleet.record_status(name, loading, rig.clock.seconds())
        rig.forwarder.status_changed(name)
        self.assertEqual([], rig.port.moves)
        view.notice.paused_until_s = -1.0
        rig.forwarder.status_changed(name)
        self.assertEqual(1, len(rig.port.moves))


class TimeTest(TestCase):
    """Requests end within their time limit, and pass on the time left."""

    def submit_until_deadline(
        self, route: str, with_target: bool
    ) -> FakeCaller:
        rig = ForwardRig()
        rig.add(target("t1"), target("e1", "llm"))
        if not with_target:
            rig.fleet.shed("t1", 100.0)
        caller = rig.submit(route)
        rig.advance(5.1)
        return caller

    def test_unanswered_request_ends_at_its_time_limit(self) -> None:
        caller = self.submit_until_deadline("book", with_target=True)
        assert caller.failure is not None
        self.assertEqual(504, forwarded_status(caller.failure))

    def test_no_target_is_refused_early_and_as_not_run(self) -> None:
        caller = self.submit_until_deadline("book", with_target=False)
        assert caller.failure is not None
        self.assertEqual(503, forwarded_status(caller.failure))
        self.assertEqual(Reason.NO_TARGET, caller.failure.reason)

    def test_empty_pool_is_refused_immediately(self) -> None:
        rig = ForwardRig()
        caller = rig.submit("book")
        assert caller.failure is not None
        self.assertEqual(503, forwarded_status(caller.failure))

    def test_waits_for_a_target_that_is_busy_for_a_moment(self) -> None:
        rig = ForwardRig()
        rig.add(target("t1"))
        rig.fleet.shed("t1", 0.0)
        rig.submit("book")
        self.assertEqual(0, len(rig.port.sent))
        rig.advance(0.5)
        self.assertEqual(1, len(rig.port.sent))

    def test_waiting_requests_are_not_all_placed_at_each_change(self) -> None:
        # Placing each of them at every status of a target took most of a small
        # VM's processor time in an overload.
        rig = ForwardRig()
        rig.add(target("e1", "llm"), target("e2", "llm"))
        for name in ("e1", "e2"):
            rig.fleet.views[name].shed_until_s = 0.6
        for _ in range(30):
            rig.submit("brief")
        placed: list[Forwarding] = []
        original = Forwarder.ranked

        def ranked(forwarder: Forwarder, forwarding: Forwarding) -> Any:
            placed.append(forwarding)
            return original(forwarder, forwarding)

        self.patch(Forwarder, "ranked", ranked)
        rig.forwarder.waiting.serve()
        self.assertEqual(1, len(placed))
        rig.forwarder.status_changed("e1")
        self.assertEqual(1, len(placed))
        rig.clock.advance(0.7)
        self.assertEqual(30, len(rig.port.sent))

    def test_remaining_time_is_passed_to_the_next_target(self) -> None:
        rig = ForwardRig()
        rig.add(target("t1"), target("t2"))
        rig.submit("read")
        rig.advance(1.0)
        rig.port.sent[0].sink.failed(LOST)
        first, second = (item.order.deadline_s for item in rig.port.sent)
        self.assertEqual(5.0, first)
        self.assertAlmostEqual(4.0, second, delta=0.1)

    def test_disconnect_cancels_all_but_an_action(self) -> None:
        # A call that may not be repeated and does not stream keeps running.
        for route, is_cancelled in (
            ("read", True),
            ("book", False),
            ("brief", True),
        ):
            rig = ForwardRig()
            rig.add(target("t1"), target("e1", "llm"))
            forwarding = rig.forwarder.submit(rig.request(route), FakeCaller())
            assert forwarding is not None
            forwarding.caller_disconnected()
            call = rig.port.sent[0].call
            self.assertEqual(is_cancelled, call.is_cancelled, route)
            self.assertEqual(0, rig.forwarder.open_requests)


class KeyTest(TestCase):
    """Keys and routes are checked against a configuration of known age."""

    def submit_status(self, rig: ForwardRig, **fields: str) -> int:
        """Submit a request; return the status of a refusal, or 200."""
        caller = rig.submit("read", **fields)
        if caller.failure is None:
            return 200
        return forwarded_status(caller.failure)

    def test_stale_configuration_neither_denies_nor_trusts_keys(self) -> None:
        cases = (
            # Age in seconds, key, host, status.
            (0.0, "key-of-a", "h", 200),
            (0.0, "other", "h", 401),
            (0.0, "key-of-a", "elsewhere", 404),
            (3.0, "other", "h", 503),
            (3.0, "key-of-a", "elsewhere", 503),
            (3.0, "key-of-a", "h", 200),
            (4.5, "key-of-a", "h", 503),
        )
        for age_s, key, host, status in cases:
            rig = ForwardRig()
            rig.add(target("t1"))
            rig.clock.advance(age_s)
            got = self.submit_status(rig, key=key, host=host)
            self.assertEqual(status, got, (age_s, key, host))

    def test_missing_configuration_is_not_reported_as_denial(self) -> None:
        rig = ForwardRig()
        rig.board.folded = type(rig.board.folded)()
        self.assertEqual(503, self.submit_status(rig))

    def test_key_revoked_while_the_request_waits(self) -> None:
        rig = ForwardRig()
        rig.add(target("t1"))
        rig.fleet.shed("t1", 0.0)
        caller = rig.submit("read")
        other = ForwardAccount(name="b", token_digest="x")
        rig.configure(state(2, accounts={"b/0": other}))
        rig.advance(0.5)
        self.assertEqual(0, len(rig.port.sent))
        assert caller.failure is not None
        self.assertEqual(401, forwarded_status(caller.failure))


class WeightsTest(TestCase):
    """No request begins on older weights for longer than allowed."""

    def served(self, is_late: bool, after_s: float) -> bool:
        rig = ForwardRig()
        rig.add(target("e1", "llm", versions={"m": 3}))
        rig.forwarder.weights.version_named("m", 4, is_late)
        rig.advance(after_s)
        rig.submit("brief")
        return bool(rig.port.sent)

    def test_older_weights_are_used_only_while_allowed(self) -> None:
        # All targets must have the weights within 6 s; a router that has just
        # started cannot know how much of that time has already passed.
        for is_late, after_s, expected in (
            (False, 0.0, True),
            (False, 4.0, True),
            (False, 5.5, False),
            (True, 0.0, True),
            (True, 1.5, True),
            (True, 2.5, False),
        ):
            served = self.served(is_late, after_s)
            self.assertEqual(expected, served, (is_late, after_s))

    def test_queue_at_a_target_shortens_the_time_for_older_weights(
        self,
    ) -> None:
        # A request that waits there may begin on them too late.
        for waiting, after_s, expected in (
            (0, 4.0, True),
            (1, 2.5, True),
            (1, 4.0, False),
        ):
            rig = ForwardRig()
            rig.add(target("e1", "llm", versions={"m": 3}))
            rig.forwarder.weights.version_named("m", 4, False)
            rig.advance(after_s)
            status = TargetStatus(
                target="e1", waiting=waiting, versions={"m": 3}
            )
            rig.fleet.record_status("e1", status, rig.clock.seconds())
            rig.submit("brief")
            served = bool(rig.port.sent)
            self.assertEqual(expected, served, (waiting, after_s))

    def test_newer_version_does_not_extend_the_time_of_an_older_one(
        self,
    ) -> None:
        for has, expected in ((1, False), (2, True), (3, True)):
            rig = ForwardRig()
            rig.add(target("e1", "llm", versions={"m": has}))
            rig.forwarder.weights.version_named("m", 2, False)
            rig.advance(4.0)
            rig.forwarder.weights.version_named("m", 3, False)
            rig.advance(1.0)
            rig.submit("brief")
            self.assertEqual(expected, bool(rig.port.sent), has)
