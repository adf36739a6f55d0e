"""Each mechanism behind the feed is needed by the test that shows it.

A mutant replaces one function; the test named with it must fail then.
"""

import unittest
from collections.abc import Callable
from typing import Any

import attrs
from testtools import TestCase

from sequoiawind import target_limit
from sequoiawind.crash_evidence import CrashEvidence
from sequoiawind.crash_registry import CrashRegistry
from sequoiawind.crash_rewrites import CrashRewrites
from sequoiawind.feed_client import FeedClient
from sequoiawind.feed_reader import FeedReader
from sequoiawind.feed_relay import FeedRelay
from sequoiawind.feed_sums import FeedSums
from sequoiawind.feed_table import FeedTable
from sequoiawind.feed_totals import RelayTotals
from sequoiawind.fleet import Fleet
from sequoiawind.forward_readers import OperatorReader, TargetReader
from sequoiawind.lab.memory_software_log import MemorySoftwareLog
from sequoiawind.origin_registry import OriginRegistry
from sequoiawind.platform import engine_wire
from sequoiawind.record_follower import RecordFollower
from sequoiawind.weights_holder import Lease, WeightsHolder
from tests import (
    test_crashing_parts,
    test_feed,
    test_feed_programs,
    test_feed_sums,
    test_forwarding,
    test_platform,
    test_record_followers,
    test_software_records,
    test_store_drills,
    test_target_limit,
    test_weights_holder,
)

Notice = Callable[..., None]
record_notice: Notice = Fleet.record_notice


def without_leaving(
    self: Fleet, view: Any, is_leaving: bool, pause_s: float, now_s: float
) -> None:
    """Record a notice without what it says of leaving."""
    record_notice(self, view, False, pause_s, now_s)


def without_pause(
    self: Fleet, view: Any, is_leaving: bool, pause_s: float, now_s: float
) -> None:
    """Record a notice without the pause that it asks for."""
    record_notice(self, view, is_leaving, 0.0, now_s)


def never_behind(self: OperatorReader, state: Any, is_late: bool) -> None:
    """Put a configuration in force, and never find the store behind."""
    if state.revision > self.board.state.revision:
        self.board.put_config(
            type(self.board.folded)(state=state, next_offset=state.revision + 1)
        )


@attrs.frozen(kw_only=True)
class FeedMutant:
    """A replaced attribute, and the test that must fail with it."""

    name: str
    owner: Any
    attribute: str
    replacement: Any
    case: type[TestCase]
    test: str


MUTANTS = (
    FeedMutant(
        name="a rise of the store's era is not seen",
        owner=RecordFollower,
        attribute="has_new_era",
        replacement=lambda self, era: False,
        case=test_record_followers.FollowerTest,
        test="test_new_era_makes_all_offsets_void",
    ),
    FeedMutant(
        name="records of a new era prove at once what is current",
        owner=RecordFollower,
        attribute="is_era_settled",
        replacement=True,
        case=test_record_followers.FollowerTest,
        test="test_new_era_makes_all_offsets_void",
    ),
    FeedMutant(
        name="an older configuration confirms a newer one",
        owner=OperatorReader,
        attribute="apply_config",
        replacement=never_behind,
        case=test_record_followers.OperatorReaderTest,
        test="test_older_configuration_does_not_confirm",
    ),
    FeedMutant(
        name="entries that arrive late replace newer ones",
        owner=TargetReader,
        attribute="changed",
        replacement=lambda self, record: (
            self.apply(self.decode(record.key, record.value).ok)
            if record.value is not None
            else self.remove(record.key)
        ),
        case=test_record_followers.TargetReaderTest,
        test="test_older_entries_are_ignored",
    ),
    FeedMutant(
        name="targets that state that they leave get requests",
        owner=Fleet,
        attribute="record_notice",
        replacement=without_leaving,
        case=test_forwarding.NoticeTest,
        test="test_leaving_target_gets_no_more_requests",
    ),
    FeedMutant(
        name="targets that want nothing for a while get requests",
        owner=Fleet,
        attribute="record_notice",
        replacement=without_pause,
        case=test_forwarding.NoticeTest,
        test="test_target_that_wants_nothing_for_a_while_gets_nothing",
    ),
    FeedMutant(
        name="Retry-After of a target is not read",
        owner=engine_wire,
        attribute="pause_s",
        replacement=lambda status, found: 0.0,
        case=test_platform.RequestTest,
        test="test_what_a_target_states_of_itself",
    ),
    FeedMutant(
        name="a router does not read a relay's records of crashes",
        owner=CrashRegistry,
        attribute="changed",
        replacement=lambda self, record: None,
        case=test_feed_programs.FeedReaderTest,
        test="test_router_that_saw_no_crash_learns_of_them_from_a_relay",
    ),
    FeedMutant(
        name="complete answers at other routers are not read",
        owner=CrashEvidence,
        attribute="is_suspected",
        replacement=lambda self, part: False,
        case=test_crashing_parts.ManyRoutersTest,
        test="test_complete_answer_at_any_router_clears_the_part",
    ),
    FeedMutant(
        name="records of crashes are not written again after a drill",
        owner=CrashRewrites,
        attribute="write_lost",
        replacement=lambda self, own_only: None,
        case=test_store_drills.CrashTest,
        test="test_router_that_starts_after_a_drill_knows_the_part",
    ),
    FeedMutant(
        name="streams are not recorded again after a drill",
        owner=OriginRegistry,
        attribute="log_rewound",
        replacement=lambda self, era: None,
        case=test_store_drills.StreamTest,
        test="test_streams_are_recorded_again",
    ),
    FeedMutant(
        name="a router that starts takes its first records for all",
        owner=MemorySoftwareLog,
        attribute="is_whole",
        replacement=property(lambda self: True, lambda self, value: None),
        case=test_software_records.StartTest,
        test="test_records_that_are_not_whole_prove_nothing",
    ),
    FeedMutant(
        name="a part is blocked after one group of crashes",
        owner=CrashEvidence,
        attribute="is_enough",
        replacement=lambda self, crashes, rule: len(crashes) >= rule.crashes,
        case=test_crashing_parts.ManyRoutersTest,
        test="test_targets_that_crash_at_once_block_no_part",
    ),
    FeedMutant(
        name="each router tests a blocked part by itself",
        owner=CrashRegistry,
        attribute="has_permit",
        replacement=lambda self, part: (
            self.evidence.blocks[part].until_s <= self.clock.seconds()
        ),
        case=test_crashing_parts.ManyRoutersTest,
        test="test_doubt_is_tested_by_one_request_of_all_routers",
    ),
    FeedMutant(
        name="room under a limit is saved up",
        owner=target_limit,
        attribute="ROOM_LIFETIME_S",
        replacement=100.0,
        case=test_target_limit.PartTest,
        test="test_many_routers_stay_within_the_limit",
    ),
    FeedMutant(
        name="a router that has moved counts at both relays",
        owner=FeedSums,
        attribute="remaining",
        replacement=lambda self, source: source.units,
        case=test_feed_sums.TotalsTest,
        test="test_router_that_changes_its_relay_counts_once",
    ),
    FeedMutant(
        name="who was taken out of a table is said to be in it",
        owner=FeedSums,
        attribute="counted",
        replacement=lambda self, level: (
            {
                name: stamp
                for source in self.sources.values()
                if source.level <= level
                for name, stamp in source.counted.items()
            }
            | {name: held.stamp for name, held in self.held.items()}
        ),
        case=test_feed_sums.TotalsTest,
        test="test_router_that_changes_its_relay_counts_once",
    ),
    FeedMutant(
        name="a relay gives totals before its routers have come",
        owner=RelayTotals,
        attribute="is_settled",
        replacement=lambda self, level, now_s: True,
        case=test_feed_sums.TotalsTest,
        test="test_relay_that_ends_leaves_no_totals_too_small",
    ),
    FeedMutant(
        name="a relay that is not heard counts as one without routers",
        owner=RelayTotals,
        attribute="scale",
        replacement=lambda self, level, now_s: 1.0,
        case=test_feed_sums.TotalsTest,
        test="test_relay_that_is_not_heard_is_estimated",
    ),
    FeedMutant(
        name="a relay passes its records on as new",
        owner=FeedRelay,
        attribute="age_s",
        replacement=lambda self, as_of_s: -1.0 if as_of_s is None else 0.0,
        case=test_feed.AgeTest,
        test="test_age_counts_from_the_first_request",
    ),
    FeedMutant(
        name="a relay passes on records of which it knows no age",
        owner=FeedRelay,
        attribute="age_s",
        replacement=lambda self, as_of_s: 0.0,
        case=test_feed.AgeTest,
        test="test_age_counts_from_the_first_request",
    ),
    FeedMutant(
        name="a router counts a relay's records as of their arrival",
        owner=FeedReader,
        attribute="note_ages",
        replacement=lambda self, reply, sent_s: self.operator.confirmed(
            self.age_clock()
        ),
        case=test_feed_programs.FeedReaderTest,
        test="test_age_of_a_relays_records",
    ),
    FeedMutant(
        name="older facts replace newer ones",
        owner=FeedTable,
        attribute="replaces",
        replacement=lambda self, entry, known: True,
        case=test_feed.FeedTableTest,
        test="test_older_entries_change_nothing",
    ),
    FeedMutant(
        name="a silent relay is asked again and again",
        owner=FeedClient,
        attribute="choose",
        replacement=lambda self: self.candidates()[0],
        case=test_feed.RelayTest,
        test="test_silent_relay_is_left_for_another",
    ),
    FeedMutant(
        name="routers order without regard to the end of their lease",
        owner=WeightsHolder,
        attribute="may_order",
        replacement=lambda self, view: self.lease is not None,
        case=test_weights_holder.WeightsHolderTest,
        test="test_suspended_router_does_not_use_a_lease_that_ran_out",
    ),
    FeedMutant(
        name="routers order before a former lease has ended",
        owner=WeightsHolder,
        attribute="may_order",
        replacement=lambda self, view: self.lease is not None,
        case=test_weights_holder.WeightsHolderTest,
        test="test_nothing_is_ordered_before_a_former_lease_has_ended",
    ),
    FeedMutant(
        name="fencing numbers begin again in a new era",
        owner=Lease,
        attribute="fencing",
        replacement=property(lambda self: self.generation),
        case=test_weights_holder.WeightsHolderTest,
        test="test_rewound_store_gives_no_fencing_number_out_again",
    ),
    FeedMutant(
        name="routers go on to order beside agents",
        owner=WeightsHolder,
        attribute="give_up",
        replacement=WeightsHolder.renew,
        case=test_weights_holder.WeightsHolderTest,
        test="test_work_is_left_to_agents_once_there_are_some",
    ),
)


class FeedMutantTest(TestCase):
    """Every mutant is found by its test, which passes without it."""

    def passes(self, mutant: FeedMutant) -> bool:
        result = unittest.TestResult()
        mutant.case(mutant.test).run(result)
        self.assertEqual(1, result.testsRun)
        return result.wasSuccessful()

    def test_each_mutant_is_found(self) -> None:
        for mutant in MUTANTS:
            self.assertTrue(self.passes(mutant), mutant.test)
            original = mutant.owner.__dict__[mutant.attribute]
            setattr(mutant.owner, mutant.attribute, mutant.replacement)
            try:
                self.assertFalse(self.passes(mutant), mutant.name)
            finally:
                setattr(mutant.owner, mutant.attribute, original)
