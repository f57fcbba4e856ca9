"""Up to when a controller knows every cancellation confirmed to a user, and what it may keep alive by that."""
