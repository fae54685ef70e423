"""The lab: an emulator of record servers, discovery, the network and client offices, and experiments on it.

The lab may import the core and every direction. Nothing that `run` starts imports the lab.
"""
