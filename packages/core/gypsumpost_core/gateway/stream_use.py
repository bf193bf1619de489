"""What one stream takes of its engine."""

import attrs


@attrs.define(kw_only=True)
class StreamUse:
    """A stream of this host.

    :param engine: id of the engine that runs it.
    :param copy_engine: id of the engine that holds its copy, empty for none.
    :param prompt_tokens: tokens of the prompt that the engine has to read.
    :param total_tokens: tokens that the stream holds at most, output included.
    :param reading: true until the first event.
    """

    engine: str
    copy_engine: str = ""
    prompt_tokens: int
    total_tokens: int
    reading: bool = True
