"""Construction of the execution of claim orders."""

from gypsumpost_daemon.calls.claim_memory import ClaimMemory
from gypsumpost_daemon.calls.claim_mode import CLAIM_MODES, ClaimMode
from gypsumpost_daemon.calls.claim_renewal import ClaimRenewal
from gypsumpost_daemon.calls.claim_writer import ClaimWriter
from gypsumpost_daemon.calls.tracked_claims import TrackedClaims
from gypsumpost_daemon.peers.host_directory import HostDirectory
from gypsumpost_daemon.peers.peer_network import PeerNetwork
from gypsumpost_daemon.store.era_monitor import EraMonitor
from gypsumpost_daemon.store.store import Store


def create_claims(
    mode: str,
    *,
    directory: HostDirectory,
    network: PeerNetwork,
    store: Store,
    eras: EraMonitor,
    retention_seconds: float | None = None,
) -> ClaimMode:
    """Return a claim mode whose claims outlast a restore of the store.

    :param mode: name in the registry of claim modes.
    :param directory: the known hosts.
    :param network: connections to other daemons.
    :param store: the store.
    :param eras: judges the store's answers.
    :param retention_seconds: how long claims and outcomes are kept, ``None``: indefinitely.
    """
    memory = ClaimMemory()
    renewal = ClaimRenewal(
        directory=directory,
        network=network,
        writer=ClaimWriter.create(store, retention_seconds, eras=eras),
        store=store,
        memory=memory,
        eras=eras,
    )
    writer = ClaimWriter.create(
        store, retention_seconds, eras=eras, wait_until_prepared=renewal.wait_until_prepared
    )
    claims = CLAIM_MODES.create(
        mode, directory=directory, network=network, store=store, writer=writer
    )
    return TrackedClaims(claims=claims, memory=memory, eras=eras, renewal=renewal)
