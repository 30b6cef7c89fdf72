"""The account of the bytes that fills transfer between zones, and the budgets that limit them.

The router asks whether the budgets have room for a fill from a source (`TrafficLedger.wait_time`), and its
host reports the start and the end of each attempt (`TrafficLedger.handle`). This package neither chooses
endpoints nor answers requests. Only `service`, `snapshot_files`, `metrics`, `plot` and `cli` do I/O;
all other modules get the time as an argument and are deterministic.
"""
