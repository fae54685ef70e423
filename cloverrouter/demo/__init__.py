"""Everything on one machine: stand-in servers, discovery and load round the real proxy, and the console."""
