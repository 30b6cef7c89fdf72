"""Owns the operators' settings: a small language of typed records after CUE, what may stand in them, and the
frozen records that other packages read.

It must never decide anything, hold a tuned value of the module, or act on a name: it says what was written,
where, and whether that is allowed. It does no I/O except in `load.py`, which reads the files it is given.
"""
