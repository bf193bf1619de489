"""Keys and certificates, loaded again when their files change."""
