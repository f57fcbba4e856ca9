"""Messages between controllers, and with users, workers and the cloud."""
