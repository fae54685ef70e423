"""The terminal console for operators; works on any terminal and over slow lines."""
