"""All decisions of ironhinge: where a request goes, where it is filled from, how it is kept, how it ends."""

from .router import Router

__all__ = ["Router"]
