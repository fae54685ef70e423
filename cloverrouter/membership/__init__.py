"""Rules on which servers are alive, from discovery's lists and from connection signals. No I/O.

The decision module uses `evidence` and `releases`. The I/O layers use `watching` and `idling`: the real proxy
(`proxy`) and the simulated proxy of the lab, so that both follow the same rules.
"""
