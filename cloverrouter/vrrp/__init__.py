"""VRRP pairs: RFC 9568's state machine over UDP, and a lease that lets at most one node accept work."""
