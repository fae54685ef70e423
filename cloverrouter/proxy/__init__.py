"""Client proxy: executes the decisions of ``decide.py`` on sockets. Started with ``python -m``."""
