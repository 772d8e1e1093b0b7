"""Tests of limits on the size of records and appends."""
