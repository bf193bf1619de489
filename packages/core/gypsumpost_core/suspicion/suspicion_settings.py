"""Settings of the detection of crash-causing requests."""

import attrs


@attrs.frozen(kw_only=True)
class SuspicionSettings:
    """Settings of the detection of crash-causing requests.

    :param trigger_window: a death counts against a request only if the request was sent to the
        engine at most this many seconds before. A request that has run for longer is cleared.
        With 3 s, unrelated crashes alone quarantined 2 of 12,000 harmless requests in the
        experiment, in which each engine crashes every 90 s.
    :param isolate_deaths: number of deaths from which a request runs isolated.
    :param quarantine_deaths: number of deaths from which a request is refused.
    :param concurrent_engines: number of engines on which the same unsuspected request may run at a
        time; bounds the engines lost before the first death is detected.
    :param common_cause_window: deaths within this many seconds may have a common cause.
    :param common_cause_others: number of deaths within the window, of engines that did not run the
        request, from which a common cause is assumed; deaths of engines that did run it then do
        not count against it.
    :param slot_time: length in seconds of the time slot in which a daemon may start isolated runs.
    :param isolation_wait: seconds to wait until the reserved engine has no other requests of this
        daemon; after that the isolated run starts anyway.
    :param reserved_engines: maximum number of engines reserved for isolated runs at a time.
    :param check_interval: seconds until a waiting request is decided again.
    :param suspicion_time: seconds until the record of a request expires.
    :param quarantine_time: seconds until a quarantine expires.
    :param record_limit: maximum number of records; those with the fewest deaths are evicted first,
        then those that expire first.
    :param report_limit: maximum number of reports in one message.
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
