"""Tests of sequoiawind."""
