"""Owns the account of bytes that fills carry across zones, the budgets that they are held to, and what is
told of both.

It must never choose a server, answer a req or send anything: the one module asks whether a source's budget
has room (`Ledger.wait`), the front tells what was sent and how it ended (`Ledger.step`). Only `keeper`,
`cli` and `plot` do I/O; all else takes times as they are told and gives the same for the same.
"""
