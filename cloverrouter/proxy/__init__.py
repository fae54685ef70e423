"""The real client proxy: the decisions of ``decide.py`` on sockets. Start it with ``python -m``."""
