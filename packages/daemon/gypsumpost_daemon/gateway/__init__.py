"""The gateway: takes requests by route, forwards them and carries streams over losses."""
