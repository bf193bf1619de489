"""Figures of membership at one number of members."""

import attrs


@attrs.frozen(kw_only=True)
class MembershipFigures:
    """What one simulated deployment showed.

    :param members: number of members.
    :param detection: seconds from each loss to each observer's report.
    :param missed: observers that had not reported a loss when the run ended.
    :param lossy_detection: the same while a fifth of all datagrams is lost.
    :param lossy_missed: the same for ``missed``.
    :param false_suspicions: distinct suspicions of live members under that loss.
    :param false_deaths: reports of live members as not live under that loss.
    :param bytes_per_second: mean bytes sent by a member each second, with UDP and IP headers.
    :param highest_bytes_per_second: the same for the member that sends most.
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
