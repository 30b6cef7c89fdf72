"""The grammar of the settings language, and the descriptions of its tokens in diagnostics.

Commas and newlines between fields are optional: after a complete expression only `&` or `|` can continue it,
so any other token begins the next field.
"""

from __future__ import annotations

from functools import lru_cache

from lark import Lark

GRAMMAR = r"""
start: body
body: (declaration ","?)*
?declaration: named
     | label "?" ":" disjunction -> optional_field
     | "[" NAME "]" ":" disjunction -> pattern
     | "..." -> open_marker
?named: label ":" disjunction -> field
      | label ":" named -> nested_field
label: NAME | STRING
disjunction: "|"? alternative ("|" alternative)*
alternative: conjunction -> plain_alternative
   | "*" conjunction -> default_alternative
conjunction: unary ("&" unary)*
?unary: OP atom -> bound
      | atom
?atom: NUMBER -> number
     | STRING -> string
     | NAME ("." NAME)* -> reference
     | "{" body "}" -> record
     | "[" [disjunction ("," disjunction)*] ","? "]" -> closed_list
     | "[" "..." disjunction "]" -> open_list
     | "(" disjunction ")" -> group
OP: "<=" | ">=" | "=~" | "!=" | "<" | ">"
NAME: /#?[A-Za-z_][A-Za-z0-9_]*/
NUMBER: /-?[0-9]+(\.[0-9]+)?([eE][+-]?[0-9]+)?/
STRING: /"([^"\\\n]|\\["\\nt])*"/
COMMENT: /\/\/[^\n]*/
%ignore COMMENT
%ignore /[ \t\r\n]+/
"""

TOKEN_DESCRIPTIONS: dict[str, str] = {
    "NAME": "a name",
    "STRING": "a quoted string",
    "NUMBER": "a number",
    "OP": "a comparison operator",
    "COLON": "':'",
    "RBRACE": "'}'",
    "RSQB": "']'",
    "RPAR": "')'",
    "COMMA": "','",
    "VBAR": "'|'",
    "AMPERSAND": "'&'",
    "LSQB": "'['",
    "LBRACE": "'{'",
    "LPAR": "'('",
    "QMARK": "'?'",
    "DOT": "'.'",
    "STAR": "'*'",
    "__ANON_0": "'...'",
    "$END": "the end of the file",
}


@lru_cache(maxsize=1)
def parser() -> Lark:
    """Returns the parser of the language, which is built at the first call and then reused."""
    return Lark(GRAMMAR, parser="lalr", propagate_positions=True, maybe_placeholders=False)
