"""A unit of output of a connection, kept in pieces that are not copied before they are written."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from math import inf

Pieces = Sequence[bytes]


class Frame:
    """Bytes that are written to a connection as a unit, in pieces.

    If a frame has `render`, this is called just before writing starts and returns the pieces; the call may
    also withdraw the frame.

    Attributes:
        ring_start: Offset of the first byte among all bytes put into the connection's ring; None until then.
        ring_end: Offset just after the last byte; None until the whole frame is in the ring.
        tag: Chosen by the code that queues the frame, to find it again.
        expires_at: The frame may be withdrawn after this (monotonic seconds); None: never.
        render: Makes the pieces when writing begins.
        rendered_at: When the pieces were made by `render` (monotonic seconds); inf: they were not.
        all_pieces: The whole frame.
        unbuffered_pieces: The pieces, or remainders of pieces, that are not in the ring yet.
        size: Bytes of the whole frame.
    """

    __slots__ = (
        "all_pieces",
        "expires_at",
        "render",
        "rendered_at",
        "ring_end",
        "ring_start",
        "size",
        "tag",
        "unbuffered_pieces",
    )

    def __init__(
        self,
        pieces: Pieces,
        tag: int = 0,
        expires_at: float | None = None,
        render: Callable[[], Pieces] | None = None,
    ):
        self.ring_start: int | None = None
        self.ring_end: int | None = None
        self.tag = tag
        self.expires_at = expires_at
        self.render = render
        self.rendered_at = inf
        self.set_pieces(pieces)

    def set_pieces(self, pieces: Pieces) -> None:
        """Sets the content of a frame before any of it is written."""
        self.all_pieces = [memoryview(piece) for piece in pieces if piece]
        self.unbuffered_pieces = deque(self.all_pieces)
        self.size = sum(map(len, self.unbuffered_pieces))

    def replace_unsent(self, pieces: Pieces, sent_bytes: int) -> bool:
        """Replaces the rest of a frame whose first `sent_bytes` are sent.

        Returns:
            False, without an effect, if the new content does not begin with what was sent.
        """
        content = b"".join(pieces)
        if content[:sent_bytes] != b"".join(self.all_pieces)[:sent_bytes]:
            return False
        self.set_pieces((content,))
        self.unbuffered_pieces = deque((memoryview(content)[sent_bytes:],))
        return True
