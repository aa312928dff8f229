"""Stand-ins for the platform, its servers and its clients, for the cases of this review."""
