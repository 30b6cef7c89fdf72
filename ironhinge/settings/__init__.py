"""Operators' settings: a small language of typed records modelled on CUE, its schema, and the loaded records.

A text is parsed (`grammar`, `parser`) into a syntax tree (`syntax`), which is evaluated (`evaluation`) and
unified (`unification`) with the schema (`schema.cue`). The result is a value (`values`), which `export`
converts to plain objects. `validation` makes the checks that the schema can't express, and `records` defines
the records that other packages use.

The package makes no routing decisions and gives no meaning to the names in the settings: it reports what was
written, where, and whether it is allowed. Only `load`, `isolated` and `cli` do I/O; they read the files that
they are given.
"""
