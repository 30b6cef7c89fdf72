"""All decisions of ironhinge: where a request goes, where it is filled from, how it is kept, how it ends.

`router` takes the events and plans the attempts of each request. Beside it stand

- the state: `upstreams`, `upstream_registry`, `request_state`;
- which caches and sources a request can use: `hashing`, `candidates`, `cache_selection`, `fill_source`,
  `request_rates`, `retries`, `purges`;
- what is known of an upstream's health and load: `eligibility`, `outlier_detection`, `failure_attribution`,
  `liveness`, `slow_start`, `congestion`, `congestion_estimate`;
- what is sent, and what is learned from it: `attempts`, `attempt_results`, `final_answers`.

Times are whole tenths of a millisecond. All decisions follow from the events, their times and the seed.
"""

from .router import Router

__all__ = ["Router"]
