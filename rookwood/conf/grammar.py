"""The grammar of a line in the operator file: bare and quoted words, an opening or closing brace, a comment.

Each line is parsed on its own, so that a fault in one line does not hide faults in others.
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
ESCAPED_CHARACTERS = {"n": "\n", "t": "\t"}


@dataclass(frozen=True, slots=True)
class Word:
    """A word of a line, without its quotes and escapes."""

    text: str
    column: int  # from 1


@dataclass(frozen=True, slots=True)
class Line:
    """A parsed line. An empty line or a comment has no words."""

    words: tuple[Word, ...] = ()
    opens: bool = False  # ends with an opening brace
    closes: bool = False  # is a closing brace


class LineError(ValueError):
    """A line does not match the grammar."""

    def __init__(self, column: int, reason: str) -> None:
        super().__init__(reason)
        self.column = column  # from 1
        self.reason = reason


@cache
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr")


def _unquote(token: Token) -> str:
    return ESCAPE.sub(lambda found: ESCAPED_CHARACTERS.get(found[1], found[1]), str(token)[1:-1])


def parse_line(text: str) -> Line:
    """Parse a line. Raises `LineError`."""
    try:
        tree = _parser().parse(text)
    except UnexpectedInput as error:
        column = max(1, error.column) if isinstance(error.column, int) else len(text) + 1
        if text[column - 1 : column] == '"':
            raise LineError(column, "a quoted word has no closing quote") from None
        found = text[column - 1 : column]
        raise LineError(
            column, f"{found!r} is out of place" if found else "the line ends too early"
        ) from None
    words, opens, closes = list[Word](), False, False
    for child in tree.children:
        if child is None:
            continue
        if isinstance(child, Token):
            opens, closes = opens or child.type == "OPEN", closes or child.type == "CLOSE"
            continue
        token = child.children[0]
        assert isinstance(token, Token) and token.column is not None
        words.append(Word(_unquote(token) if child.data == "quoted" else str(token), token.column))
    return Line(tuple(words), opens, closes)
