"""Detection of requests that crash engines, and its reports between daemons."""
