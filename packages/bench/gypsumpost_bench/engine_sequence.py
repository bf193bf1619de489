"""One generation inside the engine stand-in."""

import codecs

import attrs
import trio

from gypsumpost_cli.token_chain import TokenChain
from gypsumpost_cli.vocabulary import END_OF_SEQUENCE, encode_token


@attrs.define(kw_only=True, eq=False)
class EngineSequence:
    """State of a generation in the batch or the queue.

    :param stream_id: id by which the client resumes or cancels the stream.
    :param prompt: prompt token ids.
    :param max_tokens: maximum number of tokens to produce.
    :param priority: sequences with a higher value are started first.
    :param stop: stop sequences.
    :param ignore_eos: true if an end-of-sequence token does not end the output.
    :param chain: produces the tokens.
    :param ready_at: monotonic time in seconds at which the prefill is complete.
    """

    stream_id: str
    prompt: list[int]
    max_tokens: int
    priority: int
    stop: tuple[str, ...]
    ignore_eos: bool
    chain: TokenChain
    ready_at: float = 0.0
    tokens: list[int] = attrs.field(factory=list)
    texts: list[str] = attrs.field(factory=list)
    finish_reason: str | None = None
    stalled: bool = False
    readers: int = 0
    unread_since: float = 0.0
    changed: trio.Event = attrs.field(factory=trio.Event)
    _decoder: codecs.IncrementalDecoder = attrs.field(
        factory=codecs.getincrementaldecoder("utf-8"), init=False
    )
    _tail: str = attrs.field(default="", init=False)

    def produce_token(self) -> None:
        """Append the next token, or finish at an end-of-sequence token."""
        token = self.chain.compute_next()
        if token == END_OF_SEQUENCE and not self.ignore_eos:
            self.finish("stop")
            return
        self.chain.feed(token)
        self.tokens.append(token)
        text = self._decoder.decode(encode_token(token))
        self.texts.append(text)
        self._check_end(text)
        self.notify_readers()

    def finish(self, reason: str) -> None:
        """End the generation; the first reason is kept.

        :param reason: finish reason for the client.
        """
        if self.finish_reason is None:
            self.finish_reason = reason
        self.notify_readers()

    def notify_readers(self) -> None:
        """Wake the readers of the stream."""
        self.changed.set()
        self.changed = trio.Event()

    def _check_end(self, text: str) -> None:
        if self.stop:
            longest = max(map(len, self.stop))
            window = self._tail + text
            if any(sequence in window for sequence in self.stop):
                self.finish("stop")
            self._tail = window[-longest:]
        if len(self.tokens) >= self.max_tokens:
            self.finish("length")
