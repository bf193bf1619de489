"""Derives bounds from the memory and the descriptors of a host."""

MEGABYTE = 1 << 20

PROCESS_BYTES = 64 * MEGABYTE
"""Memory of the process with its configuration and directory, without requests."""

CONNECTION_BYTES = 32 << 10
"""Memory of a connection with its task and parser, without what it holds for its caller."""

HELD_FRACTION = 0.6
"""The rest is for buffers of sockets, copies of a moment and fragmentation."""

MIN_HELD_BYTES = 16 * MEGABYTE

FILE_DESCRIPTORS = 200
"""Descriptors that are not available for sockets."""

OWN_CONNECTIONS = 256
"""Connections to peers and the store, and the listeners."""

MIN_CONNECTIONS = 64


def compute_held_bytes(memory_bytes: int, connections: int, own_bytes: int = 0) -> int:
    """Return how many bytes a host may hold for callers and endpoints.

    :param memory_bytes: memory of the host.
    :param connections: most connections of callers.
    :param own_bytes: what the process keeps besides, for example copies for other hosts.
    """
    needed = PROCESS_BYTES + connections * CONNECTION_BYTES + own_bytes
    return max(MIN_HELD_BYTES, int((memory_bytes - needed) * HELD_FRACTION))


def compute_max_connections(descriptors: int) -> int:
    """Return how many connections of callers a host may have.

    Each may need a second one, to an endpoint.

    :param descriptors: descriptors that the process may open.
    """
    return max(MIN_CONNECTIONS, (descriptors - FILE_DESCRIPTORS - OWN_CONNECTIONS) // 2)
