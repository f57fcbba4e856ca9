"""Up to when a controller knows every cancellation that a user was told of, and what it may keep alive by that."""
