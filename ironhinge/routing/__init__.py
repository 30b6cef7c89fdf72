"""The routing decisions: upstream selection, fill sources, admission ranks, retries and final answers.

`router` handles the events and plans the attempts of each request. The other modules hold

- the state: `upstreams`, `upstream_registry`, `request_state`;
- the choice of the caches and sources that a request can use: `hashing`, `candidates`, `cache_selection`,
  `fill_source`, `request_rates`, `retries`, `purges`;
- the health and the load of upstreams: `eligibility`, `outlier_detection`, `failure_attribution`, `liveness`,
  `slow_start`, `congestion`, `congestion_estimate`;
- sending attempts, recording their results and giving final answers: `attempts`, `attempt_results`,
  `final_answers`.

Times are whole tenths of a millisecond (ticks). All decisions are deterministic: they depend only on the
events, their times and the seed. `deterministic_random` generates the random numbers.
"""

from .router import Router

__all__ = ["Router"]
