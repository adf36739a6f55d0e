"""For how long a router may go by the records that a relay provides.

A relay may have lost the store and go on answering.  Its records may be as old
as leaves the router time to read the store itself within the bounds on changes.
"""

from collections.abc import Callable
from typing import Final

import attrs

from sequoiawind.feed_client import FeedClient
from sequoiawind.feed_reader import FeedReader
from sequoiawind.options import BoundsOptions

# Maximum age of a relay's records as a share of the bound on revoked keys or of
# the bound on leaving targets.
AGE_SHARE: Final = 0.5
# Time in which a router takes over from a relay, in seconds: the jitter and the
# read of the newest records, with some delay of both.
TAKEOVER_S: Final = 0.5


@attrs.define(kw_only=True)
class RecordCover:
    """Tells for how much longer the last reply of a relay is new enough."""

    feed: FeedClient
    reader: FeedReader
    bounds: Callable[[], BoundsOptions]

    def operator_left_s(self) -> float:
        """Return the time left for the operator's records, in seconds."""
        bounds = self.bounds()
        limit_s = min(
            AGE_SHARE * bounds.revoke_ms / 1000,
            bounds.in_force_ms / 1000 - TAKEOVER_S,
        )
        return min(self.feed.live_s, limit_s - self.reader.operator_age_s)

    def targets_left_s(self) -> float:
        """Return the time left for the targets' entries, in seconds."""
        limit_s = AGE_SHARE * self.bounds().drain_ms / 1000
        return min(self.feed.live_s, limit_s - self.reader.targets_age_s)
