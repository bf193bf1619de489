"""Keys and certificates, reloaded when their files change."""
