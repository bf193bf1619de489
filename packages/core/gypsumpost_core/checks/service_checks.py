"""Checks of the services of a configuration."""

from gypsumpost_core.checks.configuration_check import CONFIGURATION_CHECKS, ConfigurationSubject
from gypsumpost_core.checks.finding import Finding
from gypsumpost_core.checks.repeated_names import find_repeated


@CONFIGURATION_CHECKS.register("unused-service")
def find_unused_services(*, subject: ConfigurationSubject) -> list[Finding]:
    """Return the services to which no route leads.

    :param subject: the configuration.
    """
    configuration = subject.configuration
    used = {share.service for route in configuration.routes for share in route.shares}
    return [
        Finding(
            check="unused-service",
            subject=f"service {service.name}",
            message="gets no requests: no route names it",
        )
        for service in configuration.services
        if service.name not in used
    ]


@CONFIGURATION_CHECKS.register("repeated-service")
def find_repeated_services(*, subject: ConfigurationSubject) -> list[Finding]:
    """Return the names that several services have.

    :param subject: the configuration.
    """
    return find_repeated("repeated-service", "service", subject.configuration.services)


@CONFIGURATION_CHECKS.register("health-path")
def find_odd_health_paths(*, subject: ConfigurationSubject) -> list[Finding]:
    """Return the services whose health check has no path.

    :param subject: the configuration.
    """
    return [
        Finding(
            check="health-path",
            subject=f"service {service.name}",
            message=f"the health path {service.health_path!r} does not begin with a slash",
        )
        for service in subject.configuration.services
        if not service.health_path.startswith("/")
    ]
