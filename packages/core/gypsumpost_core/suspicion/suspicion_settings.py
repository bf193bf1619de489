"""Settings of the suspicion of crash-causing requests."""

import attrs


@attrs.frozen(kw_only=True)
class SuspicionSettings:
    """Settings of the suspicion of crash-causing requests.

    :param trigger_window: a death counts against a request only if the request was sent to the
        engine at most this many seconds before. A request that has run for longer is innocent.
        With 3 s, ordinary crashes alone quarantined 2 of 12,000 innocents in the experiment, in
        which each engine crashes every 90 s.
    :param isolate_deaths: deaths from which a request runs isolated.
    :param quarantine_deaths: deaths from which a request is refused.
    :param concurrent_engines: engines on which the same unsuspected request may run at a time;
        bounds the engines lost before the first death is seen.
    :param common_cause_window: deaths within this many seconds may have a common cause.
    :param common_cause_others: that many deaths within the window without a request in flight
        show a common cause, and its own deaths then do not count against it.
    :param slot_time: seconds of each daemon's turn to start isolated runs.
    :param isolation_wait: seconds to wait for an engine without other requests of this daemon;
        after that the one reserved longest is used.
    :param reserved_engines: engines reserved for isolated runs at a time.
    :param check_interval: seconds until a waiting request asks again.
    :param suspicion_time: seconds until a suspicion expires.
    :param quarantine_time: seconds until a quarantine expires.
    :param record_limit: most records; the first to expire go first.
    :param report_limit: most reports in one message.
    """

    trigger_window: float = 1.5
    isolate_deaths: int = 2
    quarantine_deaths: int = 3
    concurrent_engines: int = 2
    common_cause_window: float = 1.0
    common_cause_others: int = 2
    slot_time: float = 0.3
    isolation_wait: float = 1.0
    reserved_engines: int = 2
    check_interval: float = 0.25
    suspicion_time: float = 600.0
    quarantine_time: float = 3600.0
    record_limit: int = 1024
    report_limit: int = 16
