"""ironhinge: a router in front of tiers of caches with one origin behind them."""

__version__ = "0.2.0"
