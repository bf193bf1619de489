"""Settings of routing."""

import attrs

from gypsumpost_core.generations.silence_bound import SilenceSettings


@attrs.frozen(kw_only=True)
class RoutingSettings:
    """Constants of the routing decisions.

    :param token_time: seconds per token assumed of an engine that was never measured.
    :param prefill_time: seconds per prompt token assumed of an engine that was never measured.
    :param output_tokens: output tokens assumed before any generation has ended.
    :param slots: batch size assumed of an engine whose limit is not known.
    :param choices: engines compared for each request (d of power of d choices).
    :param first_token_weight: weight of the time to the first token against that to the last.
    :param pool_size: most load probes that are kept.
    :param probe_age: seconds after which a probe is not used for a choice.
    :param probes_per_second: load probes of one daemon, whatever the size of the fleet.
    :param foreign_probe_interval: every n-th probe goes to another failure domain.
    :param domain_penalty: seconds added for an engine of another failure domain.
    :param headroom: share of the batch that is kept free for what other daemons have sent since
        the last report; an engine counts as full beyond it.
    :param slow_start: seconds until a returning engine gets its full share.
    :param down_time: seconds without new work after the first death.
    :param down_time_limit: most seconds without new work after repeated deaths.
    :param ejection_time: seconds for which a slow or wrong engine is ejected.
    :param max_ejected_fraction: most ejected engines of a model, as a fraction.
    :param slow_ratio: an engine is slow from this multiple of the median token time.
    :param wrong_ratio: an engine is wrong from this share of failed attempts.
    :param ejection_samples: observations that an ejection needs.
    :param prefix_entries: prefixes remembered for each engine.
    :param list_lag: seconds by which the platform's list may lag behind a stop of an endpoint.
    :param silence: settings of the silence bound.
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
    wrong_ratio: float = 0.5
    ejection_samples: int = 5
    prefix_entries: int = 512
    list_lag: float = 30.0
    silence: SilenceSettings = attrs.field(factory=SilenceSettings)
