"""The terminal console: what an operator sees and types, on any terminal, over a slow line too."""
