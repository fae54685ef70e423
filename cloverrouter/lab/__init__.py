"""The lab: an emulator of record servers, discovery, network and offices, and experiments on it.

It stands outside of what it examines: it may import the core and every direction, and nothing that `run`
starts imports it.
"""
