"""Error for a transaction that the store refuses as invalid."""


class StoreRejection(Exception):
    """Raised for a request that etcd would refuse; nothing has been applied."""
