"""Figures of membership with one number of members."""

import attrs


@attrs.frozen(kw_only=True)
class MembershipFigures:
    """Measurements of one simulated deployment.

    :param members: number of members.
    :param detection: seconds from each stop of a member to each observer's report.
    :param missed: number of reports that did not arrive within the observation time.
    :param lossy_detection: as ``detection``, while a fifth of all datagrams is lost.
    :param lossy_missed: as ``missed``, with the same loss.
    :param false_suspicions: distinct suspicions of live members with the same loss.
    :param false_deaths: reports of live members as not live with the same loss.
    :param bytes_per_second: mean bytes sent by a member each second, with UDP and IP headers.
    :param highest_bytes_per_second: as ``bytes_per_second``, for the member that sends the most.
    :param heartbeat_bytes_per_second: bytes of plain heartbeats to every other member.
    :param processor_microseconds: processor time per member and second.
    """

    members: int
    detection: tuple[float, ...]
    missed: int
    lossy_detection: tuple[float, ...]
    lossy_missed: int
    false_suspicions: int
    false_deaths: int
    bytes_per_second: float
    highest_bytes_per_second: float
    heartbeat_bytes_per_second: float
    processor_microseconds: float
