"""Stand-ins of the store, the cloud, the workers and the users, on loopback and the real clock."""
