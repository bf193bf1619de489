"""Parser of the setting with seed hosts."""

from gypsumpost_core.host import Host
from gypsumpost_core.settings.setting_parsers import parse_address, parse_name


def parse_seeds(text: str) -> tuple[Host, ...]:
    """Parse a comma-separated list of ``host_id@failure_domain@peer_address@gossip_address``.

    :param text: the value as text; empty for no seeds.
    """
    return tuple(_parse_seed(part.strip()) for part in text.split(",") if part.strip())


def _parse_seed(text: str) -> Host:
    host_id, failure_domain, peer_address, gossip_address = text.split("@")
    return Host(
        host_id=parse_name(host_id),
        failure_domain=parse_name(failure_domain),
        peer_address=parse_address(peer_address),
        gossip_address=parse_address(gossip_address),
    )
