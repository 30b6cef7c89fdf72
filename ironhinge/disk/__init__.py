"""A persistent tier of copies on the director's disk: a log-structured store, admission and crash recovery.

The tier serves only bytes whose checksum matches, and no copy that is older than a known purge or than a
purge that it may have missed. Disk I/O never blocks the event loop. The router decides which requests are
served from the tier; `admission` decides what is stored. `store` and the modules that it uses are an
independent library: they do not depend on the director.
"""
