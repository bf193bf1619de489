"""Names of the headers that the gateway reads and sets."""

import attrs


@attrs.frozen(kw_only=True)
class HeaderNames:
    """Header names of a platform, in lower case.

    :param request_id: id of a caller's attempt; endpoints repeat it in their answer.
    :param remaining_ms: how many milliseconds the caller, or this host, is still going to wait.
    :param last_event_id: id of the last event that the caller has received.
    :param event_id_field: field of an event that holds its id.
    :param seal: proof that an answer comes from the endpoint itself.
    :param workspace: name of the caller's workspace.
    :param expected_endpoint: id of the endpoint that the request is intended for.
    :param endpoint_id: id of the endpoint that answers.
    :param not_run: set on an answer if the endpoint did not run the request.
    :param leaving: ``1`` on an answer if the endpoint leaves.
    :param retry_after: seconds for which an endpoint wants no request of this host, with status
        503.
    :param load: load of the endpoint at the moment of an answer.
    :param request_limit: requests a second that an endpoint takes from all hosts together.
    :param priority: priority of a request at the engine.
    :param token_counts: number of prompt tokens and maximum number of output tokens.
    :param prompt_parts: parts of the prompt in order, as ``ID:TOKENS`` with commas between them;
        requests share parts, except the last one.
    :param copy_target: address of the engine that receives a copy of the stream's KV cache.
    :param resume_from: address of the engine with a copy, and id of the stream that it belongs to.
    :param pass_through: headers that belong to the request itself and are passed on unchanged.
    :param reserved: headers that only the gateway or an endpoint may set.
    """

    request_id: bytes
    remaining_ms: bytes
    last_event_id: bytes
    event_id_field: bytes
    seal: bytes
    workspace: bytes
    expected_endpoint: bytes
    endpoint_id: bytes
    not_run: bytes
    leaving: bytes
    retry_after: bytes
    load: bytes
    request_limit: bytes
    priority: bytes
    token_counts: bytes
    prompt_parts: bytes
    copy_target: bytes
    resume_from: bytes
    pass_through: tuple[bytes, ...]
    reserved: tuple[bytes, ...]
