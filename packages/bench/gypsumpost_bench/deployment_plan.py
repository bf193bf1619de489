"""What a deployment on this machine consists of."""

import attrs


@attrs.frozen(kw_only=True)
class DeploymentPlan:
    """What to start.

    :param domains: names of the failure domains.
    :param hosts_per_domain: daemons in each domain.
    :param token_gaps: seconds between tokens of each engine; engines go to the domains in turn.
    :param services: plain services in each domain.
    :param platform: true for a platform with store and lists, false for a list of hosts in a file.
    :param daemon_flags: further flags of the daemons.
    :param engine_addresses: addresses of engines that run already, besides those of
        ``token_gaps``.
    :param daemon_code: what the daemons' interpreter runs.
    """

    domains: tuple[str, ...] = ("d1", "d2", "d3")
    hosts_per_domain: int = 1
    token_gaps: tuple[float, ...] = (0.042, 0.042, 0.042)
    services: int = 1
    platform: bool = True
    daemon_flags: tuple[str, ...] = ()
    engine_addresses: tuple[str, ...] = ()
    daemon_code: str = "import gypsumpost_daemon.main as m; m.main()"
