"""The vocabulary of the engine stand-in, used to check its answers."""

import codecs

ANSWER_MARKER = 1
"""Ends the prompt; the tokens after the last marker are output."""

END_OF_SEQUENCE = 2
FIRST_BYTE = 3
FIRST_WORD = 1_000
WORD_COUNT = 4_096
FIRST_SEED = 100_000
SEED_COUNT = 65_536

SPLIT_CHARACTERS = tuple(character.encode() for character in ("é", "€", "🚲"))
"""Characters that the model writes as one token for each byte; their first bytes differ."""

SYLLABLES = (
    "ba",
    "ce",
    "di",
    "fo",
    "gu",
    "ka",
    "le",
    "mi",
    "no",
    "pu",
    "ra",
    "se",
    "ti",
    "vo",
    "zu",
)


def encode_token(token: int) -> bytes:
    """Return the bytes of a token, empty for a marker or an unknown token.

    :param token: the token id.
    """
    if FIRST_BYTE <= token < FIRST_BYTE + 256:
        return bytes([token - FIRST_BYTE])
    if FIRST_WORD <= token < FIRST_WORD + WORD_COUNT:
        return _WORDS[token - FIRST_WORD]
    if FIRST_SEED <= token < FIRST_SEED + SEED_COUNT:
        return f" #{token - FIRST_SEED:04x}".encode()
    return b""


def tokenize_text(text: str) -> list[int]:
    """Return one token for each byte of a prompt.

    :param text: the prompt.
    """
    return [FIRST_BYTE + byte for byte in text.encode()]


def decode_tokens(tokens: list[int]) -> str:
    """Return the text of output tokens.

    A character that is cut off by the end of the output is left out, as engines never send it.

    :param tokens: output token ids, beginning with the first.
    """
    decoder = codecs.getincrementaldecoder("utf-8")()
    return decoder.decode(b"".join(map(encode_token, tokens)))


def _create_word(number: int) -> bytes:
    text = " "
    while True:
        number, index = divmod(number, len(SYLLABLES))
        text += SYLLABLES[index]
        if not number:
            return text.encode()


_WORDS = tuple(_create_word(number) for number in range(WORD_COUNT))
