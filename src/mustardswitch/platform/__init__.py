"""The edge towards the platform: its key-value store and instance list."""
