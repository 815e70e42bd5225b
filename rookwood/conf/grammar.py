"""One line of the operator's file: words, quoted words, an opening or a closing brace, a comment.

Each line is parsed by itself, so that a fault in one hides none of the others.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from functools import cache

from lark import Lark, Token
from lark.exceptions import UnexpectedInput

GRAMMAR = r"""
start: [CLOSE | word+ [OPEN]]
word: BARE -> bare | QUOTED -> quoted
OPEN: "{"
CLOSE: "}"
QUOTED: /"(?:[^"\\]|\\.)*"/
BARE: /[^\s"#{}]+/
COMMENT: /#.*/
%ignore COMMENT
%ignore /[ \t\r]+/
"""
ESCAPE = re.compile(r"\\(.)")
ESCAPES = {"n": "\n", "t": "\t"}


@dataclass(frozen=True, slots=True)
class Word:
    text: str
    column: int  # from 1


@dataclass(frozen=True, slots=True)
class Line:
    words: tuple[Word, ...] = ()
    opens: bool = False
    closes: bool = False


class LineError(ValueError):
    def __init__(self, column: int, why: str) -> None:
        super().__init__(why)
        self.column, self.why = column, why


@cache
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr")


def _unquoted(token: Token) -> str:
    return ESCAPE.sub(lambda found: ESCAPES.get(found[1], found[1]), str(token)[1:-1])


def line_of(text: str) -> Line:
    """Raises `LineError`, with the column from 1."""
    try:
        tree = _parser().parse(text)
    except UnexpectedInput as error:
        column = max(1, error.column) if isinstance(error.column, int) else len(text) + 1
        if text[column - 1 : column] == '"':
            raise LineError(column, "a quoted word has no closing quote") from None
        found = text[column - 1 : column]
        raise LineError(column, f"{found!r} is out of place" if found else "the line breaks off") from None
    words, opens, closes = list[Word](), False, False
    for child in tree.children:
        if child is None:
            continue
        if isinstance(child, Token):
            opens, closes = opens or child.type == "OPEN", closes or child.type == "CLOSE"
            continue
        token = child.children[0]
        assert isinstance(token, Token) and token.column is not None
        words.append(Word(_unquoted(token) if child.data == "quoted" else str(token), token.column))
    return Line(tuple(words), opens, closes)
