"""Settings of routing."""

import attrs

from gypsumpost_core.generations.silence_bound import SilenceSettings


@attrs.frozen(kw_only=True)
class RoutingSettings:
    """Settings of routing.

    :param token_time: seconds per token assumed for an engine without measurements.
    :param prefill_time: seconds per prompt token assumed for an engine without measurements.
    :param output_tokens: output tokens assumed before any generation has ended.
    :param slots: batch limit assumed for an engine whose limit is not known.
    :param choices: number of engines compared for each request (d in power-of-d-choices).
    :param first_token_weight: weight of the time to the first token relative to that to the last.
    :param pool_size: maximum number of recent load probes that are kept.
    :param probe_age: seconds after which a load probe is too old to be used.
    :param probes_per_second: rate of load probes of one daemon, independent of the number of
        engines.
    :param foreign_probe_interval: every n-th probe goes to another failure domain.
    :param domain_penalty: seconds added to the expected time of an engine in another failure
        domain.
    :param headroom: share of the batch reserved for requests that other daemons have sent since the
        last report; an engine counts as full when only this share is free.
    :param slow_start: seconds until a returning engine receives its full share of requests.
    :param down_time: seconds without new requests after the first death.
    :param down_time_limit: upper limit of this time, which doubles with repeated deaths.
    :param ejection_time: seconds for which a slow or failing engine is ejected.
    :param max_ejected_fraction: maximum ejected fraction of the engines of a model.
    :param slow_ratio: an engine is slow if its token time exceeds this multiple of the median.
    :param failure_ratio: an engine is failing if at least this share of its attempts fail.
    :param ejection_samples: number of observations required for an ejection.
    :param prefix_entries: maximum number of prefixes tracked for each engine.
    :param list_lag: maximum seconds until the platform's list shows that an endpoint is leaving.
    :param silence: settings of the limit on the silence of streams.
    """

    token_time: float = 0.042
    prefill_time: float = 0.0002
    output_tokens: float = 200.0
    slots: int = 32
    choices: int = 3
    first_token_weight: float = 2.0
    pool_size: int = 32
    probe_age: float = 5.0
    probes_per_second: float = 20.0
    foreign_probe_interval: int = 5
    domain_penalty: float = 0.005
    headroom: float = 0.15
    slow_start: float = 10.0
    down_time: float = 1.0
    down_time_limit: float = 10.0
    ejection_time: float = 10.0
    max_ejected_fraction: float = 0.34
    slow_ratio: float = 4.0
    failure_ratio: float = 0.5
    ejection_samples: int = 5
    prefix_entries: int = 512
    list_lag: float = 30.0
    silence: SilenceSettings = attrs.field(factory=SilenceSettings)
