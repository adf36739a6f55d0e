"""What speaks the users' platform: names, formats and calls; no decision."""
