"""The account of the bytes that fills transfer between zones, and the budgets that they are held to.

The router asks whether the budgets have room for a fill from a source (`TrafficLedger.wait_time`), and the
front reports what was sent and how it ended (`TrafficLedger.handle`). Nothing here chooses an endpoint or
answers a request. Only `service`, `snapshot_files`, `metrics`, `plot` and `cli` do I/O: all else is told the
time and gives the same results for the same calls.
"""
