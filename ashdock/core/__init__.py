"""The scheduling core: decides without input or output."""
