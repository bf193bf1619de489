"""Selection of engines by expected time, health and cached prefixes."""
