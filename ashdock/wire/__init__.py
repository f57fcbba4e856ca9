"""Messages of all protocols, and the binary frames that controllers exchange."""
