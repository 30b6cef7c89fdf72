"""Conversion between scalars and their text in the settings language."""

from __future__ import annotations

from .syntax import ScalarValue

ESCAPES = {"\\n": "\n", "\\t": "\t", '\\"': '"', "\\\\": "\\"}
_ESCAPE_OF = {character: escape for escape, character in ESCAPES.items()}
_ESCAPE_LENGTH = 2
_CONSTANT_TEXTS = {None: "null", True: "true", False: "false"}


def unquote(token: str) -> str:
    """Returns the string that a quoted token represents."""
    text = token[1:-1]
    characters: list[str] = []
    position = 0
    while position < len(text):
        escape = text[position : position + _ESCAPE_LENGTH]
        characters.append(ESCAPES.get(escape, text[position]))
        position += _ESCAPE_LENGTH if escape in ESCAPES else 1
    return "".join(characters)


def quote(text: str) -> str:
    """Returns a string as a quoted token, with escapes."""
    return '"' + "".join(_ESCAPE_OF.get(character, character) for character in text) + '"'


def format_scalar(value: ScalarValue) -> str:
    """Returns the text of a scalar in the settings language."""
    if value is None or isinstance(value, bool):
        return _CONSTANT_TEXTS[value]
    if isinstance(value, str):
        return quote(value)
    return repr(value) if isinstance(value, float) else str(value)
