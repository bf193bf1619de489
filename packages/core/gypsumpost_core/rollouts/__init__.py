"""Roll-outs of a service to a new version: evidence, decision and choice of a version."""
