"""Operators' settings: a small language of typed records after CUE, its schema, and the records it gives.

A text is parsed (`grammar`, `parser`) into a syntax tree (`syntax`), which is evaluated (`evaluation`) and
unified (`unification`) with the schema (`schema.cue`) to values (`values`). `export` turns these into plain
objects, `validation` checks what the schema can't, and `records` holds the result for other packages.

The package must never decide anything or act on a name: it reports what was written, where, and whether that
is allowed. It does no I/O except in `load`, `isolated` and `cli`, which read the files that they are given.
"""
