"""A transaction that the store refuses as malformed."""


class StoreRejection(Exception):
    """Raised for a transaction that etcd would refuse; nothing has been applied."""
