"""Parsers accept or refuse arbitrary input without raising."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from sequoiawind import (
    claims,
    config_fold,
    keys,
    language,
    openai_format,
    router_http,
    sse,
    wire,
)
from sequoiawind import settings as settings_files
from sequoiawind.config_fold import Folded
from sequoiawind.keys import KeyLimits
from sequoiawind.options import AgentSettings, RouterSettings

# The same examples in every run.
fixed = settings(derandomize=True, deadline=None, max_examples=150)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
VOCABULARY = """
show targets requests where state = != order by limit count drain target
because "x" admit set of kind to 7 create with , delete if revision load
version on pool settle key as ran not run e3 -1
"""
WORDS = st.lists(st.sampled_from(VOCABULARY.split()), max_size=10)


class PropertyTest(TestCase):
    """Parsers and folds do not raise on generated input."""

    @fixed
    @given(WORDS)
    def test_language(self, words: list[str]) -> None:
        text = " ".join(words)
        parsed = language.parse(text)
        if parsed.is_error():
            self.assertTrue(1 <= parsed.error.column <= len(text) + 2)

    @fixed
    @given(st.text())
    def test_language_text(self, text: str) -> None:
        language.parse(text)

    @fixed
    @given(st.text())
    def test_settings(self, text: str) -> None:
        for kind in (RouterSettings, AgentSettings):
            settings_files.parse("f", text, kind)

    @fixed
    @given(JSON)
    def test_records(self, value: object) -> None:
        data = wire.encode(value).decode()
        folded = config_fold.fold(Folded(), 0, data)
        self.assertEqual(1, folded.next_offset)
        table = claims.ClaimTable()
        table.fold(0, 0.0, data)
        self.assertEqual(1, table.next_offset)
        self.assertIsNone(config_fold.restore(data))

    @fixed
    @given(st.dictionaries(st.sampled_from(("verb", "body", "id", "v")), JSON))
    def test_record_fields(self, value: dict[str, object]) -> None:
        record = {"actor": "a", "id": "i", "verb": "create", **value}
        data = wire.encode(record).decode()
        self.assertEqual(1, config_fold.fold(Folded(), 0, data).next_offset)

    @fixed
    @given(st.binary())
    def test_bodies(self, data: bytes) -> None:
        router_http.json_object(data)

    @fixed
    @given(
        st.dictionaries(
            st.sampled_from(("model", "prompt", "messages", "max_tokens", "n")),
            JSON,
        )
    )
    def test_completions(self, body: dict[str, object]) -> None:
        for path in (openai_format.CHAT_PATH, openai_format.TEXT_PATH):
            router_http.completion_fault(path, body)

    @fixed
    @given(st.text(max_size=40), st.floats(0, 2e9))
    def test_keys(self, text: str, now_s: float) -> None:
        keys.check_key(text, now_s, KeyLimits())

    @fixed
    @given(st.integers(1, 2**40), st.integers(0, 2**74 - 1))
    def test_made_keys_are_accepted(self, time_ms: int, bits: int) -> None:
        time_s = time_ms / 1000.0
        key = keys.make_key(time_s, bits)
        self.assertTrue(keys.check_key(key, time_s, KeyLimits()).is_ok())

    @fixed
    @given(st.binary(), st.integers(1, 20))
    def test_events_do_not_depend_on_chunk_boundaries(
        self, data: bytes, size: int
    ) -> None:
        whole = list(sse.EventReader().feed(data))
        reader = sse.EventReader()
        parts: list[sse.Event] = []
        for start in range(0, len(data), size):
            parts += reader.feed(data[start : start + size])
        self.assertEqual(whole, parts)
