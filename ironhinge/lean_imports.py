"""Imports libraries without OpenSSL, which takes 8 MB and which the director does not use.

asyncio and hashlib work without it, as on a system that lacks it. anyio needs the name of one type, which it
uses in annotations; any use of TLS fails with an `AttributeError`.
"""

from __future__ import annotations

import sys
from types import ModuleType
from typing import Any

OPENSSL_MODULES = ("ssl", "_hashlib")


def import_without_openssl() -> None:
    """Imports asyncio and hashlib without OpenSSL; has to run before their first import."""
    modules: dict[str, Any] = sys.modules
    for name in OPENSSL_MODULES:
        modules[name] = None  # the documented way to make an import fail
    import asyncio  # noqa: F401 - for its effect
    import hashlib  # noqa: F401 - for its effect

    del modules["_hashlib"]
    modules["ssl"] = _module_without_tls()


def _module_without_tls() -> ModuleType:
    module = ModuleType("ssl", "Stands for the standard module in a process that speaks no TLS.")
    module.SSLContext = type("SSLContext", (), {})  # type: ignore[attr-defined]
    return module
