"""Decisions under load: pure functions of what a router knows.

Nothing here reads a clock, a socket or a store; times are arguments, in seconds
of the steady clock.
"""
