"""Starting and stopping of endpoints by operators."""
