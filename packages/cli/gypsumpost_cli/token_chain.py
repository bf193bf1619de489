"""A chain of tokens in which each token depends on all earlier ones.

The first two output tokens are a random seed. A checker can therefore verify, from the prompt and
the output alone, that no token is missing, repeated or taken from another generation.
"""

import random
import struct
from collections.abc import Iterable

import xxhash

from gypsumpost_cli.vocabulary import (
    ANSWER_MARKER,
    END_OF_SEQUENCE,
    FIRST_BYTE,
    FIRST_SEED,
    FIRST_WORD,
    SEED_COUNT,
    SPLIT_CHARACTERS,
    WORD_COUNT,
    encode_token,
)

SEED_TOKENS = 2
SPLIT_PERIOD = 12
"""On average one token in this many starts a character that is split over several tokens."""

END_PERIOD = 20_000
"""On average one token in this many ends the output, unless the request sets ``ignore_eos``."""


class TokenChain:
    """Produces the next output token from all tokens so far.

    :param prompt: prompt token ids; the tokens after the last answer marker count as output.
    :param seed: seed for the random tokens, ``None`` for a fresh seed.
    """

    def __init__(self, *, prompt: Iterable[int], seed: int | None = None) -> None:
        self._hash = xxhash.xxh3_64()
        self._rng = random.Random(seed)
        self._outputs = 0
        self._partial = b""
        for token in prompt:
            self.feed(token)

    def feed(self, token: int) -> None:
        """Add a token to the chain.

        :param token: the token id.
        """
        self._hash.update(struct.pack("<I", token))
        if token == ANSWER_MARKER:
            self._outputs, self._partial = 0, b""
            return
        self._outputs += 1
        is_byte = FIRST_BYTE <= token < FIRST_BYTE + 256
        partial = self._partial + encode_token(token) if is_byte else b""
        self._partial = b"" if partial in SPLIT_CHARACTERS else partial

    def compute_next(self) -> int:
        """Return the next output token without adding it."""
        if self._outputs < SEED_TOKENS:
            return FIRST_SEED + self._rng.randrange(SEED_COUNT)
        return self._compute_chained()

    def is_next(self, token: int) -> bool:
        """Return whether a token is valid as the next one.

        :param token: the token id to check.
        """
        if self._outputs < SEED_TOKENS:
            return FIRST_SEED <= token < FIRST_SEED + SEED_COUNT
        return token == self._compute_chained()

    def _compute_chained(self) -> int:
        for character in SPLIT_CHARACTERS:
            if self._partial and character.startswith(self._partial):
                return FIRST_BYTE + character[len(self._partial)]
        digest = self._hash.intdigest()
        if digest % END_PERIOD == 0:
            return END_OF_SEQUENCE
        if digest % SPLIT_PERIOD == 0:
            return FIRST_BYTE + SPLIT_CHARACTERS[(digest >> 32) % len(SPLIT_CHARACTERS)][0]
        return FIRST_WORD + (digest >> 16) % WORD_COUNT


def find_chain_error(prompt: list[int], output: list[int]) -> str | None:
    """Check that the output of an answer is one unbroken chain.

    :param prompt: prompt token ids as the engine reported them, the answer marker included.
    :param output: all output token ids of the answer.
    :returns: a description of the first wrong token, ``None`` if there is none.
    """
    chain = TokenChain(prompt=prompt)
    for position, token in enumerate(output):
        if not chain.is_next(token):
            return f"token {position} ({token}) does not follow from the tokens before it"
        chain.feed(token)
    return None
