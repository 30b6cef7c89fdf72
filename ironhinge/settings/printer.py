"""Formats plain objects in the settings language."""

from __future__ import annotations

from typing import Any

from .literals import format_scalar

INDENT = " " * 4


def print_settings(plain: dict[str, Any]) -> str:
    """Returns plain objects as a text that `load.load_texts` loads to the same plain objects."""
    lines = _field_lines(plain, "")
    return "".join(f"{line}\n" for line in lines)


def _field_lines(plain: dict[str, Any], indent: str) -> list[str]:
    return [
        f"{indent}{_format_label(name)}: {_format_value(value, indent + INDENT)}"
        for name, value in plain.items()
    ]


def _format_value(value: Any, indent: str) -> str:
    """Returns the text of a field's value; a record has one line per field, each indented by `indent`."""
    if isinstance(value, dict):
        if not value:
            return "{}"
        lines = "\n".join(_field_lines(value, indent))
        return f"{{\n{lines}\n{indent.removesuffix(INDENT)}}}"
    return _format_inline(value)


def _format_inline(value: Any) -> str:
    if isinstance(value, dict):
        fields = (f"{_format_label(name)}: {_format_inline(inner)}" for name, inner in value.items())
        return "{" + ", ".join(fields) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(_format_inline, value)) + "]"
    return format_scalar(value)


def _format_label(name: str) -> str:
    needs_no_quotes = name.isidentifier() and name.isascii()
    return name if needs_no_quotes else format_scalar(name)
