"""Stand-ins of the users' platform for the cases of the second review."""
