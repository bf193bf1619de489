"""The gateway routes requests to endpoints and resumes streams when an engine is lost."""
