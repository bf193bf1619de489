"""Description, parsing and checks of settings."""
