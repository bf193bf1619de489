"""Checks an answer of the engine stand-in."""

from gypsumpost_cli.answer import Answer
from gypsumpost_cli.token_chain import find_chain_error
from gypsumpost_cli.vocabulary import decode_tokens


def find_answer_error(answer: Answer, max_tokens: int) -> str | None:
    """Check that an answer is complete and comes from a single generation.

    :param answer: an answer with token ids.
    :param max_tokens: ``max_tokens`` of the request.
    :returns: a description of the fault, ``None`` for a correct answer.
    """
    if answer.error is not None:
        return answer.error
    if answer.finish_reason is None:
        return "the answer has no finish reason"
    if answer.finish_reason == "length" and len(answer.token_ids) != max_tokens:
        return f"the answer has {len(answer.token_ids)} of {max_tokens} tokens"
    chain_error = find_chain_error(answer.prompt_token_ids, answer.token_ids)
    if chain_error is not None:
        return chain_error
    if answer.text != decode_tokens(answer.token_ids):
        return "the text does not match the tokens"
    return None
