"""Large requests and answers between router and agent."""

import urllib.error
import urllib.request
from unittest import mock

from testtools import TestCase

from sequoiawind import keys, wire
from sequoiawind.lab.plain_model import PlainModel
from sequoiawind.wire import Reply
from tests import live

TIMEOUT_S = 30
# Below the bound of an agent for an answer.
LARGE_REPLY = b"x" * 6_000_000


def call(path: str, body: bytes, key: str = "") -> tuple[int, str, bytes]:
    """Make a call; return the status, the verdict and the body."""
    headers = {"Authorization": f"Bearer {live.TOKEN}"}
    if key:
        headers["Idempotency-Key"] = key
    request = urllib.request.Request(
        live.shared().url() + path, data=body, headers=headers
    )
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as reply:
            verdict = reply.headers["X-Sequoiawind-Verdict"]
            return reply.status, verdict, reply.read()
    except urllib.error.HTTPError as error:
        verdict = error.headers["X-Sequoiawind-Verdict"]
        return error.code, verdict, error.read()


class LargeTest(TestCase):
    """What is accepted is served; what cannot be is refused as not run."""

    def test_large_answer_of_an_action_arrives(self) -> None:
        large = Reply(
            status=200, content_type="a/b", body=wire.encode_body(LARGE_REPLY)
        )
        key = keys.make_key(live.shared().log.epoch_s, 1)
        with mock.patch.object(PlainModel, "reply", return_value=large):
            status, verdict, body = call("/status/K7", b"{}", key)
        self.assertEqual((200, "done"), (status, verdict))
        self.assertEqual(len(LARGE_REPLY), len(body))
