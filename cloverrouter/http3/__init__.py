"""HTTP/3 (RFC 9114) over QUIC (RFC 9000): a frontend for clients, which shares its request validation with
HTTP/1.1, and a carrier to servers."""
