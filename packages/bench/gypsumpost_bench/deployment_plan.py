"""Configuration of a deployment on this machine."""

import attrs


@attrs.frozen(kw_only=True)
class DeploymentPlan:
    """The processes of a deployment.

    :param domains: names of the failure domains.
    :param hosts_per_domain: daemons in each domain.
    :param token_gaps: seconds between tokens of each engine; engines are assigned to the
        domains in turn.
    :param services: service processes for each domain.
    :param platform: true for a platform with store and lists, false for a host list in a file.
    :param daemon_flags: additional command-line flags of the daemons.
    :param engine_addresses: addresses of engines that are already running, in addition to those of
        ``token_gaps``.
    :param daemon_code: Python code that runs a daemon.
    """

    domains: tuple[str, ...] = ("d1", "d2", "d3")
    hosts_per_domain: int = 1
    token_gaps: tuple[float, ...] = (0.042, 0.042, 0.042)
    services: int = 1
    platform: bool = True
    daemon_flags: tuple[str, ...] = ()
    engine_addresses: tuple[str, ...] = ()
    daemon_code: str = "import gypsumpost_daemon.start as s; s.main()"
