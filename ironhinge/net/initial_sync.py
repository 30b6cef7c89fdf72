"""How long a starting director waits for the discovery service before it takes connections.

Until it holds what the service held, it would send requests to endpoints that have drained since its
configuration was written, serve copies that were purged, and take endpoints that have just started for warm
ones. A connection that is refused loses nothing, and a director that is not ready gets no clients.

The wait is bounded, as a director has to be ready within 6 s of its start: for each `SyncStage`, by the time
in which the next stage is due.
"""

from __future__ import annotations

import anyio
from loguru import logger

from .clock import SECOND, Clock
from .discovery_progress import DiscoveryProgress, SyncStage

WAIT_LIMITS = {  # since the first attempt to connect
    SyncStage.UNREACHABLE: 2 * SECOND,  # some attempts to connect, also after a lost SYN
    SyncStage.SILENT: 7 * SECOND // 2,  # a second connection is tried meanwhile; it has to show a frame
    SyncStage.RECEIVING: 4 * SECOND,
}


async def wait_for_initial_sync(progress: DiscoveryProgress, clock: Clock) -> bool:
    """Waits until all that the discovery service held is applied, at the latest until a limit.

    Returns:
        Whether it is applied.
    """
    started_at = clock.now()
    while progress.stage is not SyncStage.SYNCED:
        time_remaining = started_at + WAIT_LIMITS[progress.stage] - clock.now()
        if time_remaining <= 0:
            waited_s = clock.seconds(clock.now() - started_at)
            stage = progress.stage.name.lower()
            logger.warning("serving_before_caught_up stage={} waited_s={:.3f}", stage, waited_s)
            return False
        with anyio.move_on_after(clock.seconds(time_remaining)):
            await progress.wait_for_stage_change()
    return True
