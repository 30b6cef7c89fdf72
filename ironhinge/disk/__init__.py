"""Owns a second tier of copies on a lasting disk: a log-structured store of parts, what is admitted to it,
and its recovery.

It must never hand out a byte that it has not verified, a copy older than a purge that is known or can't be
known, or hold the event loop for a disk. Which req is served from it is the one module's; what is kept is
asked of `admission`. `store` and below are a library of their own: they know no director.
"""
