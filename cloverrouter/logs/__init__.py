"""Structured logs: a line of JSON for each event and each line of the log, with stable names and fields."""
