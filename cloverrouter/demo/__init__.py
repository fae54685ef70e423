"""The demo on one machine: stand-in servers, discovery and load around the real proxy, and the console."""
