"""HTTP/3 for clients (RFC 9114 over QUIC, RFC 9000): a front beside HTTP/1.1's, through the same gate."""
