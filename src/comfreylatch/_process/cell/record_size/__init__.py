"""Keeps records and appends within the limits of the store."""
