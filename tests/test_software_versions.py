"""A stream goes on only at the software version that began it."""

from typing import Any

from expression import Ok
from testtools import TestCase

from sequoiawind.forward_state import ForwardPool
from sequoiawind.lab.memory_origin_log import MemoryOriginLog
from sequoiawind.origin_registry import OriginRecord
from sequoiawind.software_memory import SOFTWARE_MEMORY_S
from sequoiawind.stream_origins import StreamOrigin
from sequoiawind.verdict import (
    Reason,
    Verdict,
    forwarded_status,
    may_have_run,
)
from sequoiawind.wire import TargetStatus
from tests.forward_rig import FakeCaller, ForwardRig, state, target

LOST = may_have_run(Reason.CONNECTION_LOST, "lost")


def events(*numbers: int) -> bytes:
    """Return events of a stream."""
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers)


def make_rig(**software: str) -> ForwardRig:
    """Return a router with engines, given with their software versions."""
    rig = ForwardRig()
    pool = ForwardPool(
        name="llm", models=("m",), memory_tokens=10_000, has_moves=True
    )
    rig.configure(state(2, pools={**rig.board.state.pools, "llm": pool}))
    for name, version in software.items():
        rig.add(target(name, "llm", software=version))
    return rig


def begin(
    rig: ForwardRig, at: str = "", **fields: Any
) -> tuple[FakeCaller, str]:
    """Begin a stream; return its caller and the version that began it.

    Args:
      rig: The router.
      at: The version; empty for that of the target that is preferred.
      **fields: Fields of the request.
    """
    for view in rig.fleet.views.values():
        is_wanted = at in ("", view.target.software)
        view.shed_until_s = 0.0 if is_wanted else float("inf")
    caller = rig.submit("draft", **fields)
    for view in rig.fleet.views.values():
        view.shed_until_s = 0.0
    sent = rig.port.sent[-1]
    sent.begin(200, events(1, 2))
    return caller, sent.order.target.software


class OneAnswerTest(TestCase):
    """Within one answer."""

    def test_broken_stream_goes_on_at_its_version(self) -> None:
        for software in ("v1", "v2"):
            rig = make_rig(e1="v1", e2="v2", e3="v1", e4="v2")
            caller, _ = begin(rig, at=software)
            rig.port.sent[0].sink.failed(LOST)
            second = rig.port.sent[1]
            self.assertEqual(software, second.order.target.software)
            second.answer(200, events(3))
            self.assertEqual(events(1, 2, 3), caller.body)

    def test_broken_stream_without_its_version_is_aborted_at_once(self) -> None:
        rig = make_rig(e1="v1", e2="v2")
        caller, _ = begin(rig)
        rig.port.sent[0].sink.failed(LOST)
        self.assertEqual(1, len(rig.port.sent))
        self.assertTrue(caller.is_broken)
        self.assertFalse(caller.is_ended)

    def test_request_without_an_event_goes_to_any_version(self) -> None:
        rig = make_rig(e1="v1", e2="v2")
        rig.submit("draft")
        rig.port.sent[0].sink.failed(LOST)
        self.assertEqual(2, len(rig.port.sent))

    def test_run_is_moved_within_its_version(self) -> None:
        for others, moves in ((("v2", "v2"), 0), (("v2", "v1"), 1)):
            rig = make_rig(e1="v1")
            begin(rig)
            for name, version in zip(("e2", "e3"), others, strict=True):
                rig.add(target(name, "llm", software=version))
            loading = TargetStatus(target="e1", is_loading=True)
            rig.fleet.record_status("e1", loading, rig.clock.seconds())
            rig.forwarder.status_changed("e1")
            self.assertEqual(moves, len(rig.port.moves), others)
            if moves:
                rig.port.move_answers[0].callback(Ok("ip:1/h"))
                destination = rig.port.moves[0].destination
                self.assertEqual("v1", destination.software)


class RestartTest(TestCase):
    """An engine starts again under its id, perhaps at another version.

    Its agent reads its start from the engine itself, also while the store,
    which tells the version, does not answer.
    """

    def engine_restarted(self, rig: ForwardRig, name: str) -> None:
        """Let an agent state a start after the one in the engine's entry."""
        status = TargetStatus(target=name, born_ms=2, versions={"m": 1})
        rig.fleet.record_status(name, status, rig.clock.seconds())

    def test_stream_does_not_go_on_at_an_engine_that_has_restarted(
        self,
    ) -> None:
        for has_restarted, sends in ((False, 2), (True, 1)):
            rig = make_rig(e1="v1", e2="v2")
            caller, _ = begin(rig, at="v1")
            rig.add(target("e3", "llm", software="v1"))
            if has_restarted:
                self.engine_restarted(rig, "e3")
            rig.port.sent[0].sink.failed(LOST)
            self.assertEqual(sends, len(rig.port.sent))
            self.assertIs(has_restarted, caller.is_broken)

    def test_status_of_the_start_in_the_entry_changes_nothing(self) -> None:
        for born_ms in (0, 1, 2):
            rig = make_rig(e1="v1")
            rig.add(target("e2", "llm", software="v1", born_ms=2))
            status = TargetStatus(target="e2", born_ms=born_ms)
            rig.fleet.record_status("e2", status, 0.0)
            begin(rig)
            rig.port.sent[0].sink.failed(LOST)
            self.assertEqual(2, len(rig.port.sent), born_ms)

    def test_stream_that_begins_at_an_unknown_version_does_not_go_on(
        self,
    ) -> None:
        rig = make_rig(e1="v1")
        rig.advance(SOFTWARE_MEMORY_S + 1.0)
        self.engine_restarted(rig, "e1")
        caller, _ = begin(rig, request_id="s")
        rig.add(target("e2", "llm", software="v1"))
        rig.add(target("e3", "llm", software="v2"))
        rig.port.sent[0].sink.failed(LOST)
        self.assertEqual(1, len(rig.port.sent))
        self.assertTrue(caller.is_broken)
        again = rig.submit("draft", last_event_id="2", resumes="s")
        rig.advance(1.0)
        assert again.failure is not None
        self.assertEqual(Verdict.NOT_RUN, again.failure.verdict)
        self.assertEqual(1, len(rig.port.sent))
        # Nor may another router take it for a stream of a known version.
        recorded = [item.origin.software for item in rig.origin_log.records]
        self.assertEqual([None], recorded)

    def test_unknown_version_rules_out_that_there_is_only_one(self) -> None:
        rig = make_rig(e1="v1", e2="v1")
        rig.advance(SOFTWARE_MEMORY_S + 1.0)
        self.engine_restarted(rig, "e2")
        caller = rig.submit("draft", last_event_id="2", resumes="other")
        rig.advance(1.0)
        assert caller.failure is not None
        self.assertEqual(Verdict.NOT_RUN, caller.failure.verdict)
        self.assertEqual([], rig.port.sent)

    def test_restart_is_told_once(self) -> None:
        rig = make_rig(e1="v1")
        told: list[tuple[str, int, int]] = []
        rig.fleet.on_restart = lambda entry, born_ms: told.append(
            (entry.name, entry.born_ms, born_ms)
        )
        for _ in range(3):
            self.engine_restarted(rig, "e1")
            rig.add(target("e1", "llm", software="v1"))
        self.assertEqual([("e1", 0, 2)], told)

    def test_only_the_entry_of_the_new_start_tells_its_version(self) -> None:
        for born_ms, sends in ((0, 1), (1, 1), (2, 2)):
            rig = make_rig(e1="v1", e2="v1")
            self.engine_restarted(rig, "e2")
            rig.add(target("e2", "llm", software="v1", born_ms=born_ms))
            rig.add(target("e2", "llm", software="v1", born_ms=born_ms))
            rig.fleet.views["e2"].open_requests = 50
            begin(rig)
            rig.port.sent[0].sink.failed(LOST)
            self.assertEqual(sends, len(rig.port.sent), born_ms)

    def test_pool_has_one_version_again_once_the_entry_has_come(self) -> None:
        rig = make_rig(e1="v1", e2="v1")
        self.engine_restarted(rig, "e2")
        now_s = rig.clock.seconds()
        self.assertEqual(2, len(rig.fleet.software_versions("llm", now_s)))
        rig.add(target("e2", "llm", software="v1", born_ms=2))
        self.assertEqual({"v1"}, rig.fleet.software_versions("llm", now_s))


class ReconnectTest(TestCase):
    """Over several requests of a caller, at any router."""

    def setUp(self) -> None:
        super().setUp()
        self.log = MemoryOriginLog()

    def routers(self, count: int = 2, **software: str) -> list[ForwardRig]:
        """Return routers that have run for long and share a log."""
        rigs = [make_rig(**software) for _ in range(count)]
        for rig in rigs:
            rig.forwarder.origins.port = self.log
            rig.advance(SOFTWARE_MEMORY_S + 1.0)
        return rigs

    def reconnect(self, rig: ForwardRig, resumes: str) -> FakeCaller:
        """Resume a stream after its second event."""
        return rig.submit(
            "draft", request_id="again", last_event_id="2", resumes=resumes
        )

    def check_refused(self, rig: ForwardRig, caller: FakeCaller) -> None:
        """Check that a request was refused as not run, and was not."""
        rig.advance(1.0)
        failure = caller.failure
        assert failure is not None
        self.assertEqual(Verdict.NOT_RUN, failure.verdict)
        self.assertEqual(503, forwarded_status(failure))
        self.assertTrue(failure.retry_after_s)
        self.assertEqual([], rig.port.sent)

    def check_goes_on_at(self, rig: ForwardRig, software: str) -> None:
        """Check that a stream has been sent to a target of a version."""
        self.assertEqual(1, len(rig.port.sent))
        sent = rig.port.sent[0]
        self.assertEqual(software, sent.order.target.software)

    def test_stream_goes_on_at_its_version_at_any_router(self) -> None:
        for software in ("v1", "v2"):
            self.log = MemoryOriginLog()
            first, second = self.routers(e1="v1", e2="v2", e3="v1", e4="v2")
            begin(first, at=software, request_id="s")
            first.advance(0.3)
            self.reconnect(second, "s")
            self.check_goes_on_at(second, software)
            self.reconnect(first, "s")
            sent = first.port.sent[-1]
            self.assertEqual(software, sent.order.target.software)

    def test_stream_is_recorded_at_once_when_its_answer_is_aborted(
        self,
    ) -> None:
        first, second = self.routers(e1="v1", e2="v2")
        caller, software = begin(first, at="v2", request_id="s")
        first.port.sent[0].sink.failed(LOST)
        self.assertTrue(caller.is_broken)
        first.clock.advance(0.0)
        self.reconnect(second, "s")
        self.check_goes_on_at(second, software)

    def test_stream_that_is_recorded_late_is_waited_for(self) -> None:
        first, second = self.routers(e1="v1", e2="v2")
        _, software = begin(first, at="v2", request_id="s")
        self.reconnect(second, "s")
        self.assertEqual([], second.port.sent)
        first.advance(0.2)
        second.advance(0.2)
        self.check_goes_on_at(second, software)

    def test_stream_of_unknown_origin_is_refused_as_not_run(self) -> None:
        for resumes in ("s", ""):
            (rig,) = self.routers(1, e1="v1", e2="v2")
            self.check_refused(rig, self.reconnect(rig, resumes))

    def test_stream_is_refused_while_the_log_does_not_answer(self) -> None:
        first, second = self.routers(e1="v1", e2="v2")
        begin(first, at="v2", request_id="s")
        first.advance(0.3)
        self.log.is_available = False
        self.check_refused(second, self.reconnect(second, "s"))

    def test_streams_are_recorded_again_after_a_failed_call(self) -> None:
        first, second = self.routers(e1="v1", e2="v2")
        self.log.is_available = False
        _, software = begin(first, at="v2", request_id="s")
        first.advance(0.3)
        self.log.is_available = True
        first.advance(0.6)
        self.reconnect(second, "s")
        self.check_goes_on_at(second, software)

    def test_nothing_is_recorded_or_read_while_there_is_one_version(
        self,
    ) -> None:
        first, second = self.routers(e1="v1", e2="v1")
        begin(first, request_id="s")
        first.advance(1.0)
        self.reconnect(second, "s")
        self.check_goes_on_at(second, "v1")
        self.assertEqual((0, []), (self.log.reads, self.log.records))

    def test_streams_from_before_a_second_version_are_recorded(self) -> None:
        first, second = self.routers(e1="v1")
        begin(first, request_id="s")
        for rig in (first, second):
            rig.add(target("e0", "llm", software="v2"))
            rig.fleet.views["e1"].open_requests = 50
        begin(first, request_id="other")
        first.advance(0.3)
        self.reconnect(second, "s")
        self.check_goes_on_at(second, "v1")

    def test_version_whose_targets_have_gone_still_counts(self) -> None:
        (rig,) = self.routers(1, e1="v1", e2="v2")
        rig.fleet.remove("e1", rig.clock.seconds())
        self.check_refused(rig, self.reconnect(rig, "s"))
        rig.advance(SOFTWARE_MEMORY_S)
        self.reconnect(rig, "s")
        self.check_goes_on_at(rig, "v2")

    def test_restarted_router_asks_the_log(self) -> None:
        # The versions that were there before its start, as the log tells.
        for recorded, is_served in (((), True), (("v1",), True), (("v2",), 0)):
            self.log = MemoryOriginLog()
            for version in recorded:
                origin = StreamOrigin(pool="llm", software=version)
                record = OriginRecord(request_id="q", origin=origin)
                self.log.records.append(record)
            rig = make_rig(e1="v1")
            rig.forwarder.origins.port = self.log
            caller = self.reconnect(rig, "s")
            if is_served:
                self.check_goes_on_at(rig, "v1")
            else:
                self.check_refused(rig, caller)

    def test_versions_of_records_that_were_read_long_ago_do_not_count(
        self,
    ) -> None:
        rig = make_rig(e1="v1")
        rig.forwarder.origins.port = self.log
        origin = StreamOrigin(pool="llm", software="v2")
        self.log.records.append(OriginRecord(request_id="q", origin=origin))
        self.check_refused(rig, self.reconnect(rig, "s"))
        rig.advance(SOFTWARE_MEMORY_S)
        # The configuration is too old to rely on what is known of the fleet,
        # until the log has been read.
        rig.clock.advance(2.5)
        self.reconnect(rig, "s")
        rig.advance(0.1)
        self.check_goes_on_at(rig, "v1")

    def test_router_that_may_not_know_all_targets_refuses(self) -> None:
        (rig,) = self.routers(1, e1="v1")
        self.log.is_available = False
        rig.clock.advance(3.0)
        caller = self.reconnect(rig, "s")
        rig.clock.advance(1.0)
        assert caller.failure is not None
        self.assertEqual(Verdict.NOT_RUN, caller.failure.verdict)
        self.assertEqual([], rig.port.sent)

    def test_log_that_has_lost_records_is_read_from_its_first_one(
        self,
    ) -> None:
        first, second = self.routers(e1="v1", e2="v2")
        self.log.first = 7
        _, software = begin(first, at="v2", request_id="s")
        first.advance(0.3)
        self.reconnect(second, "s")
        self.check_goes_on_at(second, software)

    def test_log_that_returns_from_a_copy_is_read_anew(self) -> None:
        first, second = self.routers(e1="v1", e2="v2")
        begin(first, at="v2", request_id="s")
        first.advance(0.3)
        self.reconnect(second, "s")
        self.log.era, self.log.records = 1, []
        _, software = begin(first, at="v2", request_id="t")
        first.advance(0.3)
        caller = self.reconnect(second, "t")
        second.advance(0.3)
        self.assertEqual(None, caller.failure)
        sent = second.port.sent[-1]
        self.assertEqual(software, sent.order.target.software)

    def test_stream_that_is_taken_up_twice_keeps_its_origin(self) -> None:
        first, second, third = self.routers(3, e1="v1", e2="v2", e3="v1")
        _, software = begin(first, at="v2", request_id="s")
        first.advance(0.3)
        self.reconnect(second, "s")
        second.port.sent[0].begin(200, events(3))
        second.advance(0.3)
        self.reconnect(third, "s")
        self.check_goes_on_at(third, software)

    def test_caller_that_leaves_during_the_lookup_is_not_served(self) -> None:
        (rig,) = self.routers(1, e1="v1", e2="v2")
        caller = FakeCaller()
        request = rig.request("draft", last_event_id="2", resumes="s")
        forwarding = rig.forwarder.submit(request, caller)
        assert forwarding is not None
        forwarding.caller_disconnected()
        rig.advance(1.0)
        self.assertEqual([], rig.port.sent)

    def test_many_routers_share_the_calls_that_record(self) -> None:
        # The number of routers, and the calls of one of them in ten seconds.
        for routers, bound in ((4, 68), (300, 4)):
            (rig,) = self.routers(1, e1="v1", e2="v2")
            self.log = MemoryOriginLog()
            rig.forwarder.origins.port = self.log
            rig.fleet.stated_routers = routers
            origin = StreamOrigin(pool="llm", software="v1")
            for number in range(200):
                rig.fleet.stated_routers_s = rig.clock.seconds()
                rig.forwarder.origins.began(f"s{number}", origin)
                rig.advance(0.05)
            self.assertTrue(0 < self.log.appends <= bound, self.log.appends)
