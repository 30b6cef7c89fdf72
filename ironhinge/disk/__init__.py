"""A second tier of copies on a persistent disk: a log-structured store of parts, admission, and recovery.

The tier never serves a byte that it has not verified, nor a copy older than a purge that is known or can't be
known, and never blocks the event loop on the disk. The router decides which request is served from it;
`admission` decides what is stored. `store` and the modules below it are a library of their own that knows no
director.
"""
