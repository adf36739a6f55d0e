"""Broken answers of agents, as routers meet them."""

from testtools import TestCase

from sequoiawind import defaults, http_client
from sequoiawind.http_ports import AgentPort
from sequoiawind.verdict import Verdict
from tests import live
from tests.test_target_ports import ATTEMPT, RawTarget, RecordingSink

WAIT_TIMEOUT_S = 5.0
OK_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
ANSWERS = (
    b"HTTP/1.1 500 No\r\ncontent-length: 100\r\n\r\npart",
    b"HTTP/1.1 500 No\r\ntransfer-encoding: chunked\r\n\r\n5\r\npart",
    b"HTTP/1.1 500 No\r\n\r\npart",
    b"HTTP/1.1 500 No\r\n",
    b"",
    b"no answer at all\r\n\r\n",
    OK_HEAD + b"content-length: 100\r\n\r\nid: a1:0\ndata: x",
    OK_HEAD + b"\r\nevent: ended\ndata: {}",
    OK_HEAD + b"\r\nevent: ended\ndata: 5\n\n",
    OK_HEAD + b"\r\nevent: started\ndata: 5\n\n",
)


class PoolTest(TestCase):
    """No call is sent on a connection that its server is about to close."""

    def test_client_closes_idle_connections_first(self) -> None:
        pool = http_client.make_client()._agent._pool
        self.assertLess(
            pool.cachedConnectionTimeout, defaults.IDLE_TIMEOUT_S / 2
        )


class AgentPortTest(TestCase):
    """An attempt whose call fails always ends, since it is waited for."""

    def test_every_broken_answer_ends_the_attempt(self) -> None:
        live.start_reactor_thread()
        client = live.in_reactor(http_client.make_client)
        port = AgentPort(client=client, secret=live.SECRET)
        for answer in ANSWERS:
            for is_reset in (False, True):
                sink = RecordingSink()
                target = RawTarget(answer=answer, is_reset=is_reset)
                with target:
                    live.in_reactor(port.open, target.address, ATTEMPT, sink)
                    ended = sink.has_ended.wait(WAIT_TIMEOUT_S)
                self.assertTrue(ended, (answer, is_reset))
                (end,) = sink.ends
                assert end.failure is not None, answer
                self.assertEqual(Verdict.MAY_HAVE_RUN, end.failure.verdict)
