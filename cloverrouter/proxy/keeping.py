"""How much of clients' bodies is held in memory at once, and when a body is passed on as it comes instead.

Rules only. A body that is held whole can be sent a second time; one that is passed on can't. The first 64 KiB
of each are held in any case; what is over that comes out of one budget for all.
"""

from __future__ import annotations

from cloverrouter.proxy.messages import MAX_BODY

MOST_EACH = 256 * 1024  # of one body; a larger one is passed on from its 64th KiB


class Keeping:
    """`budget`: bytes of bodies over 64 KiB that may be held at once."""

    def __init__(self, budget: int) -> None:
        self.budget = budget
        self.held = 0

    def may_hold(self, length: int | None, now: int, claimed: int) -> bool:
        """May a body go on being held, of which `now` bytes have come and `claimed` are claimed so far?

        `length`: what its client said; None where it did not say. A body that is too long as a whole is not
        begun to be held: it would take room from those that fit, to no use.
        """
        if now <= MAX_BODY and (length is None or length <= MAX_BODY):
            return True
        whole = now if length is None else max(length, now)
        return whole <= MOST_EACH and self.held - claimed + whole <= self.budget

    def claim(self, bytes_: int, claimed: int) -> int:
        """Hold so many bytes in place of `claimed`; what is claimed from here on."""
        self.held += bytes_ - claimed
        return bytes_
