"""Usage of engines by one stream."""

import attrs


@attrs.define(kw_only=True)
class StreamUsage:
    """Engine usage of a stream of this host.

    :param engine: id of the engine that runs it.
    :param copy_engine: id of the engine that holds its copy, empty for none.
    :param prompt_tokens: prompt tokens that the engine has to prefill.
    :param total_tokens: maximum tokens of the stream, prompt and output together.
    :param prefilling: true while the prompt is prefilled, that is, until the first event.
    """

    engine: str
    copy_engine: str = ""
    prompt_tokens: int
    total_tokens: int
    prefilling: bool = True
