"""Structured logs: one JSON line per event and log record, with stable names and fields."""
