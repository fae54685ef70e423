"""Bounds on operators' drains and bans, in memory and in the file.

Whoever writes such a file and whoever reads it apply the same bounds, so that a file that was written can
be read again.
"""

from __future__ import annotations

from cloverrouter.seams import MAX_TEXT_CHARS

MAX_HOSTS = 10_000  # above the largest fleet, which leaves room for hosts that were renamed since
MAX_RECORDS = MAX_HOSTS  # of one file, in which a host has one record
MAX_NOTE_CHARS = MAX_TEXT_CHARS
MAX_RECORD_BYTES = 2048  # the longest note, each character escaped (6 bytes), and 848 bytes for the rest
MAX_FILE_BYTES = MAX_RECORDS * MAX_RECORD_BYTES
MAX_SET_ASIDE_FILES = 10  # unreadable ones that are kept
