"""Network servers, clients and links of a controller."""
