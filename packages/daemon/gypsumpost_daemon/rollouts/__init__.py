"""Roll-outs of a service to a new version: orders, decider, evidence and choice on a host."""
