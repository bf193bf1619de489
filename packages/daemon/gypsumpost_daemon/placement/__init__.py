"""Orders to the engines of a failure domain."""
