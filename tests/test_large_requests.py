"""Large requests and answers between router and agent."""

import json
import urllib.error
import urllib.request
from unittest import mock

from testtools import TestCase

from sequoiawind import keys, wire
from sequoiawind.lab.plain_model import PlainModel
from sequoiawind.openai_format import CHAT_PATH
from sequoiawind.wire import Reply
from tests import live

TIMEOUT_S = 30
# Below the bound of the caller's body; the attempt carries the text twice.
LARGE_TEXT = "a weather window " * 150_000
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

    def test_request_that_is_too_large_for_an_agent_is_refused(self) -> None:
        body = {
            "model": "polar",
            "max_tokens": 1,
            "messages": [{"role": "user", "content": LARGE_TEXT}],
        }
        health = live.shared().routers[0].board.members.health
        failures = sum(item.failures for item in health.values())
        status, verdict, _ = call(CHAT_PATH, json.dumps(body).encode())
        self.assertEqual((413, "not_run"), (status, verdict))
        # No target is at fault.
        later = sum(item.failures for item in health.values())
        self.assertEqual(failures, later)

    def test_large_answer_of_an_action_arrives(self) -> None:
        large = Reply(
            status=200, content_type="a/b", body=wire.encode_body(LARGE_REPLY)
        )
        key = keys.make_key(live.shared().log.epoch_s, 1)
        with mock.patch.object(PlainModel, "reply", return_value=large):
            status, verdict, body = call("/status/K7", b"{}", key)
        self.assertEqual((200, "done"), (status, verdict))
        self.assertEqual(len(LARGE_REPLY), len(body))
