"""VRRP pairs: the state machine of RFC 9568 over UDP, and a lease under which at most one box takes work."""
