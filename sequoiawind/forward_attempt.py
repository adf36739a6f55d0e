"""One attempt of a forwarded request at one target; the sink of its answer.

A stream's events are passed on as they arrive, and its end is checked: an
answer may look complete by its framing and be broken off all the same.
"""

from typing import TYPE_CHECKING, Final

import attrs

from sequoiawind import defaults, messages
from sequoiawind.event_stream import EventSplitter
from sequoiawind.fleet import TargetView
from sequoiawind.forward_ports import AnswerHead
from sequoiawind.forward_state import ForwardPool
from sequoiawind.headers import Framing
from sequoiawind.load.target_pace import PaceSample
from sequoiawind.request_execution import OpenAttempt
from sequoiawind.stream_move import StreamMove
from sequoiawind.target_choice import Chosen
from sequoiawind.verdict import Failure, Reason, may_have_run

if TYPE_CHECKING:
    from sequoiawind.forwarding import Forwarding

CONTENT_TYPE: Final = b"content-type"
# Content type of a stream of events, which parameters may follow.
EVENTS: Final = b"text/event-stream"
# Length of a refusal's body from which its end is not waited for, in bytes.
MAX_REFUSAL_BYTES: Final = 65_536


@attrs.define(kw_only=True, eq=False)
class ForwardAttempt(OpenAttempt):
    """One attempt at one target; the sink of its answer."""

    forwarding: "Forwarding"
    chosen: Chosen
    # The pool of the request's plan when the attempt began.
    pool: ForwardPool
    # Whether the caller has events of another attempt, which this one's follow.
    is_continuation: bool = False
    answer: AnswerHead | None = None
    body: bytearray = attrs.field(factory=bytearray)
    # Bytes of a refusal's body that were dropped.
    dropped_bytes: int = 0
    splitter: EventSplitter = attrs.field(factory=EventSplitter)
    # Bytes of the answer that are counted in the budget of the process.
    held_bytes: int = 0
    # When it was sent, in seconds of the clock; negative before.
    sent_s: float = -1.0
    # Whether the prompt no longer counts as a pending prefill.
    has_begun: bool = False
    # When the first complete event of a stream arrived, in seconds of the
    # clock; negative before it.
    first_event_s: float = -1.0
    # What it teaches of its target's speed; None once its answer has begun.
    sample: PaceSample | None = None
    # When its answer was expected to begin after it was sent, in seconds;
    # negative if unknown.
    expected_s: float = -1.0
    # The pending move of the run to another target, if any, and one that asks
    # for room there while the run goes on.
    move: StreamMove | None = None
    reserving: StreamMove | None = None
    # Whether a move that failed may have stopped the run.
    may_be_stopped: bool = False

    @property
    def view(self) -> TargetView:
        """This router's view of the target."""
        return self.chosen.view

    def head(self, head: AnswerHead) -> None:
        """Store the answer's head, and note what the target states."""
        if not self.is_over:
            self.view.heard_s = self.clock.seconds()
            self.answer = head
            self.forwarding.forwarder.head_received(self.view, head)
            if self.is_streaming and self.is_continuation:
                content_type = dict(head.headers).get(CONTENT_TYPE, EVENTS)
                if not content_type.startswith(EVENTS):
                    self.abort(messages.NOT_A_STREAM)

    def data(self, data: bytes) -> None:
        """Receive a part of the body; stream events are passed on directly."""
        if self.is_over or self.answer is None:
            return
        self.view.heard_s = self.clock.seconds()
        if self.forwarding.is_finished:
            # The caller has left a call that may not be stopped halfway.
            return
        if self.answer.refusal is not None:
            self.refusal_data(data)
            return
        if not self.is_streaming:
            self.body += data
            if len(self.body) > defaults.MAX_HELD_BODY_BYTES or (
                not self.may_hold(len(self.body))
            ):
                self.abort_oversized()
            return
        self.begin()
        for event in self.splitter.take(data):
            if event.id is None and self.is_continuation:
                # The stream so far had ids, so this is no part of it.
                self.abort(messages.NOT_A_STREAM)
                return
            if not self.has_event:
                self.first_event_s = self.clock.seconds()
                self.answer_began()
            self.forwarding.take_event(self, event.data, event.id)
        if self.splitter.is_inside_event:
            self.forwarding.silence.event_begun(self)
        rest_bytes = len(self.splitter.rest)
        if rest_bytes > defaults.MAX_HELD_EVENT_BYTES or (
            not self.may_hold(rest_bytes)
        ):
            self.abort_oversized()

    def refusal_data(self, data: bytes) -> None:
        """Drop a part of a refusal's body, which no caller gets.

        The head alone proves that the request was not run.  A body without end
        is not waited for.
        """
        self.dropped_bytes += len(data)
        if self.dropped_bytes > MAX_REFUSAL_BYTES:
            if self.call is not None:
                self.call.cancel()
            self.done()

    def cancel(self) -> None:
        """Close the attempt; what has arrived of its answer is not kept.

        Ended attempts stay in memory for a while.
        """
        OpenAttempt.cancel(self)
        self.body = bytearray()

    def take_body(self) -> bytes:
        """Return the body of a whole answer, and keep it no longer."""
        body, self.body = bytes(self.body), bytearray()
        return body

    def may_hold(self, size: int) -> bool:
        """Count what is held of the answer; return whether there is room."""
        flow = self.forwarding.plan.request.flow
        if flow is None or size == self.held_bytes:
            return True
        added, self.held_bytes = size - self.held_bytes, size
        if added > 0:
            if flow.hold(added):
                return True
            self.held_bytes -= added
            return False
        flow.release(-added)
        return True

    def abort_oversized(self) -> None:
        """Fail the attempt because too much of its answer must be held."""
        self.abort(messages.ANSWER_TOO_LARGE)

    def abort(self, detail: str) -> None:
        """Fail the attempt because its answer cannot be used."""
        if self.call is not None:
            self.call.cancel()
        self.failed(may_have_run(Reason.TARGET_ERROR, detail))

    def done(self) -> None:
        """Handle the end of the answer; a stream may still be broken off."""
        if self.is_streaming and self.is_truncated:
            text = messages.STREAM_TRUNCATED
            self.failed(may_have_run(Reason.CONNECTION_LOST, text))
            return
        if self.has_written:
            self.answer_began()
        if not self.close():
            return
        if self.move is not None and self.is_close_delimited:
            self.move.stream_ended()
        else:
            self.forwarding.answered(self)

    def failed(self, failure: Failure) -> None:
        """Handle the failure of the answer."""
        if not self.close():
            return
        self.body = bytearray()
        if self.move is not None:
            self.move.stream_failed(failure)
        else:
            self.forwarding.attempt_failed(self, failure)

    @property
    def is_truncated(self) -> bool:
        """Whether a stream that has ended was broken off.

        The end of a connection proves nothing.  A stream that has no other end
        must have brought an event, unless it resumes after the last one, and
        its run must not have been stopped.
        """
        if self.splitter.is_inside_event:
            return True
        is_empty = not self.has_event and not self.is_resumed
        return self.is_close_delimited and (is_empty or self.may_be_stopped)

    @property
    def has_event(self) -> bool:
        """Whether a complete event of a stream has arrived."""
        return self.first_event_s >= 0.0

    @property
    def has_written(self) -> bool:
        """Whether the target has written some of an answer on the prompt."""
        if self.forwarding.plan.kind.is_stream:
            return self.has_event
        return self.answer is not None and self.answer.status < 300

    @property
    def is_close_delimited(self) -> bool:
        """Whether only the end of the connection ends the answer."""
        answer = self.answer
        return answer is not None and answer.framing is Framing.CONNECTION

    @property
    def is_resumed(self) -> bool:
        """Whether the stream goes on after events that the caller has."""
        forwarding = self.forwarding
        return forwarding.last_event is not None or bool(
            forwarding.plan.request.last_event_id
        )

    @property
    def is_streaming(self) -> bool:
        """Whether the answer is passed on as it arrives."""
        answer = self.answer
        if answer is None or answer.refusal is not None:
            return False
        return self.forwarding.plan.kind.is_stream and answer.status < 300

    def occupy(self) -> None:
        """Add the attempt to the target's counts."""
        view, self.sent_s = self.view, self.clock.seconds()
        view.count_request(self.sent_s)
        view.open_requests += 1
        view.pending_prefills += 1
        view.pending_prefill_tokens += self.chosen.prefill_tokens

    def release(self) -> None:
        """Remove the attempt from the target's counts."""
        self.view.open_requests -= 1
        self.may_hold(0)
        self.begin()
        sample, self.sample = self.sample, None
        self.forwarding.forwarder.load.dropped(sample)

    def expect(self, sample: PaceSample | None) -> None:
        """Note how soon the answer is expected to begin."""
        self.sample = sample
        if sample is not None:
            self.expected_s = sample.estimate_s

    def answer_began(self) -> None:
        """Learn how soon the target began its answer, once."""
        sample, self.sample = self.sample, None
        self.forwarding.forwarder.load.began(
            self.forwarding.plan, sample, self.clock.seconds()
        )

    def begin(self) -> None:
        """Remove the prompt from the target's pending prefills, once."""
        if self.has_begun:
            return
        self.has_begun = True
        self.view.pending_prefills -= 1
        self.view.pending_prefill_tokens -= self.chosen.prefill_tokens
