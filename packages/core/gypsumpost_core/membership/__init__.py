"""Membership of hosts: gossip within and across failure domains."""
