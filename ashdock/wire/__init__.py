"""The protocol: its messages, and the frames between controllers."""
