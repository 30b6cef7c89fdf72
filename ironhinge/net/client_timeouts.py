"""How long a client connection may be silent or take before the next step of its close.

The network may delay data by `NETWORK_DELAY` in each direction. Until then, a connection without data may
have a request on its way, and GOAWAY may not have arrived. docs/capacity.md says whose time each span covers.
"""

from __future__ import annotations

from .clock import MILLISECOND, SECOND

NETWORK_DELAY = 300 * MILLISECOND  # in one direction, at most
SCHEDULING_ALLOWANCE = (
    50 * MILLISECOND
)  # for a client's own delays; the protocol allows as much on each limit

# Time without input after which a client that has sent no frame, or only part of one, counts as stalled.
# Usual clients write at once, and the protocol allows 3 s until the director must have announced the close.
STALLED_TIMEOUT = 1200 * MILLISECOND
# The same for an incomplete frame, when no descriptor is left and no connection is idle.
STALLED_TIMEOUT_WHEN_FULL = 400 * MILLISECOND
FRAME_TIMEOUT = 2400 * MILLISECOND  # for a whole frame, however slowly it arrives
IDLE_TIMEOUT = 4500 * MILLISECOND  # clients close their idle connections after 4 s

# Shortest silence after which a connection may be closed for a new one: a request that was sent as soon as
# the connection was established, or after the latest answer, has arrived by then.
MIN_IDLE_TIME = NETWORK_DELAY + SCHEDULING_ALLOWANCE
MIN_IDLE_TIME_AFTER_REQUESTS = SECOND  # for one that has carried requests, while descriptors are left

# How long a connection must have been quiet after GOAWAY before this side is shut down: GOAWAY arrives, and
# what was sent before that does.
NOTICE_PERIOD = 2 * NETWORK_DELAY + 2 * SCHEDULING_ALLOWANCE
# No descriptor is left: with a longer notice, connections would arrive faster than they are closed.
NOTICE_PERIOD_WHEN_FULL = 60 * MILLISECOND
# During shutdown, for a client that never sent a frame and has been silent for `MIN_IDLE_TIME`; GOAWAY was
# sent at the start of the shutdown or at the accept.
UNUSED_SHUTDOWN_NOTICE_PERIOD = 100 * MILLISECOND

# Time for the client to close its side; after that the socket is closed, even if output is unread.
LINGERING_TIMEOUT = 500 * MILLISECOND
LINGERING_TIMEOUT_WHEN_SHORT = 100 * MILLISECOND  # the same while descriptors are short
