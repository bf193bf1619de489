"""Cap'n Proto codec of beacons."""

import math
import struct
from collections.abc import Iterable, Mapping
from typing import Any

import capnp
from result import Err, Ok, Result

from gypsumpost_core.gateway.endpoint_start import EndpointStart
from gypsumpost_core.gateway.engine_usage import EngineUsage
from gypsumpost_core.gateway.host_report import HostReport
from gypsumpost_core.gateway.retry_count import RetryCount
from gypsumpost_core.gateway.store_era import StoreEra
from gypsumpost_daemon.crashes.crash_codec import (
    decode_crashes,
    decode_survivals,
    encode_crashes,
    encode_survivals,
)
from gypsumpost_daemon.gateway.beacon import Beacon
from gypsumpost_daemon.gateway.copy_codec import decode_copy, encode_copy, split_digests
from gypsumpost_daemon.gateway.peer_schema import SCHEMA
from gypsumpost_daemon.limits.limit_codec import decode_limits, encode_limits
from gypsumpost_daemon.rollouts.report_codec import decode_report, encode_report

USAGE_NUMBERS = struct.Struct("<4I")
MAX_NUMBER = 0xFFFFFFFF
NEVER_CONFIRMED = MAX_NUMBER
MILLISECONDS = 1000
RATE_NUMBER = struct.Struct("<H")
RATE_UNIT = 10
MAX_RATE_NUMBER = 0xFFFF


def encode_beacon(beacon: Beacon) -> bytes:
    """Return a beacon as packed bytes.

    :param beacon: the beacon.
    """
    packed: bytes = SCHEMA.Beacon.new_message(
        host={
            "hostId": beacon.host.host_id,
            "failureDomain": beacon.host.failure_domain,
            "linkMbps": bound_number(beacon.host.link_mbps),
            "watching": beacon.host.watching,
            "storeLost": beacon.host.store_lost,
        },
        ip=beacon.ip,
        coversDomain=beacon.covers_domain,
        sequence=beacon.sequence,
        version=beacon.version,
        endpointRevision=beacon.endpoint_revision,
        uses=encode_uses(beacon.uses),
        rates=encode_rates(beacon.rates),
        retries=[
            {
                "service": service,
                "requests": bound_number(count.requests),
                "repeats": bound_number(count.retries),
            }
            for service, count in beacon.retries.items()
        ],
        losses=encode_starts(beacon.losses),
        returns=encode_starts(beacon.returns),
        leaving=encode_starts(beacon.leaving),
        limits=encode_limits(beacon.limits),
        crashes=encode_crashes(beacon.crashes),
        survivals=encode_survivals(beacon.survivals),
        copies=[encode_copy(copy) for copy in beacon.copies],
        rollouts=encode_report(beacon.rollouts),
        incarnation=beacon.incarnation,
        copiesLeftOut=beacon.copies_left_out,
        begun=b"".join(beacon.begun),
        era=beacon.era,
        confirmedMsAgo=encode_age(beacon.confirmed_ms_ago),
        endpointsToldMsAgo=encode_age(beacon.endpoints_told_ms_ago),
    ).to_bytes_packed()
    return packed


def decode_beacon(data: bytes) -> Result[Beacon, str]:
    """Return the beacon in a datagram, or why it cannot be decoded.

    :param data: the packed bytes.
    """
    try:
        message = SCHEMA.Beacon.from_bytes_packed(data)
        return Ok(
            Beacon(
                host=HostReport(
                    host_id=message.host.hostId,
                    failure_domain=message.host.failureDomain,
                    link_mbps=message.host.linkMbps,
                    watching=message.host.watching,
                    store_lost=message.host.storeLost,
                ),
                ip=message.ip,
                covers_domain=message.coversDomain,
                sequence=message.sequence,
                version=message.version,
                endpoint_revision=message.endpointRevision,
                uses=decode_uses(message.uses),
                rates=decode_rates(message.rates),
                retries={
                    count.service: RetryCount(requests=count.requests, retries=count.repeats)
                    for count in message.retries
                },
                losses=decode_starts(message.losses),
                returns=decode_starts(message.returns),
                leaving=decode_starts(message.leaving),
                limits=decode_limits(message.limits),
                crashes=decode_crashes(message.crashes),
                survivals=decode_survivals(message.survivals),
                copies=tuple(decode_copy(copy) for copy in message.copies),
                rollouts=decode_report(message.rollouts),
                incarnation=message.incarnation,
                copies_left_out=message.copiesLeftOut,
                begun=split_digests(bytes(message.begun)),
                era=StoreEra(message.era),
                confirmed_ms_ago=decode_age(message.confirmedMsAgo),
                endpoints_told_ms_ago=decode_age(message.endpointsToldMsAgo),
            )
        )
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        return Err(str(error).partition("\n")[0])


def encode_age(milliseconds: int | None) -> int:
    """Return the age of an answer of the store as a number of the message.

    :param milliseconds: the age, ``None`` if there is no answer.
    """
    return NEVER_CONFIRMED if milliseconds is None else bound_number(milliseconds)


def decode_age(number: int) -> int | None:
    """Return the age of an answer of the store in milliseconds, ``None`` if there is none.

    :param number: the number in the message.
    """
    return None if number == NEVER_CONFIRMED else number


def add_confirmation_age(data: bytes, seconds: float) -> bytes:
    """Return a beacon as packed bytes, with answers of the store that are older by some time.

    The fields that only newer versions of this software know are kept.

    :param data: the packed bytes of a valid beacon.
    :param seconds: the time, infinity if it is not known.
    """
    message = SCHEMA.Beacon.from_bytes_packed(data).as_builder()
    if message.confirmedMsAgo == message.endpointsToldMsAgo == NEVER_CONFIRMED:
        return data
    milliseconds = seconds * MILLISECONDS
    message.confirmedMsAgo = extend_age(message.confirmedMsAgo, milliseconds)
    message.endpointsToldMsAgo = extend_age(message.endpointsToldMsAgo, milliseconds)
    packed: bytes = message.to_bytes_packed()
    return packed


def extend_age(number: int, milliseconds: float) -> int:
    """Return the age of an answer of the store, as a number of the message, after some time.

    :param number: the number before.
    :param milliseconds: the time, infinity if it is not known.
    """
    return math.ceil(min(number + milliseconds, NEVER_CONFIRMED))


def encode_uses(uses: Mapping[str, EngineUsage]) -> dict[str, Any]:
    """Return the usage by engine as fields of the schema's ``Uses``.

    :param uses: the usage.
    """
    numbers = (
        map(
            bound_number,
            (usage.running, usage.prefill_tokens, usage.memory_tokens, usage.copy_tokens),
        )
        for usage in uses.values()
    )
    return {
        "engines": " ".join(uses),
        "numbers": b"".join(USAGE_NUMBERS.pack(*row) for row in numbers),
    }


def decode_uses(message: Any) -> dict[str, EngineUsage]:
    """Return the usage by engine in a message.

    :param message: the schema's ``Uses``.
    :raises ValueError: if the length of the numbers does not match the number of names.
    """
    names = message.engines.split()
    data = bytes(message.numbers)
    check_numbers(data, len(names) * USAGE_NUMBERS.size)
    return {
        name: EngineUsage(
            running=running, prefill_tokens=prefill, memory_tokens=memory, copy_tokens=copies
        )
        for name, (running, prefill, memory, copies) in zip(
            names, USAGE_NUMBERS.iter_unpack(data), strict=True
        )
    }


def encode_rates(rates: Mapping[str, int]) -> dict[str, Any]:
    """Return prefill rates as fields of the schema's ``Rates``.

    :param rates: rates in tokens per second by engine.
    """
    highest = MAX_RATE_NUMBER * RATE_UNIT
    numbers = (round(max(RATE_UNIT, min(highest, rate)) / RATE_UNIT) for rate in rates.values())
    return {
        "engines": " ".join(rates),
        "numbers": b"".join(RATE_NUMBER.pack(number) for number in numbers),
    }


def decode_rates(message: Any) -> dict[str, int]:
    """Return the prefill rates in a message, in tokens per second by engine.

    :param message: the schema's ``Rates``.
    :raises ValueError: if the length of the numbers does not match the number of names.
    """
    names = message.engines.split()
    data = bytes(message.numbers)
    check_numbers(data, len(names) * RATE_NUMBER.size)
    numbers = RATE_NUMBER.iter_unpack(data)
    return {name: number * RATE_UNIT for name, (number,) in zip(names, numbers, strict=True)}


def bound_number(value: int) -> int:
    """Return the nearest number that fits into 32 bits.

    :param value: a count, or a sum over the hosts of a domain.
    """
    return min(MAX_NUMBER, max(0, value))


def check_numbers(data: bytes, expected: int) -> None:
    """Check the length of packed numbers.

    :param data: the packed numbers.
    :param expected: their length in bytes.
    :raises ValueError: if the length is another one.
    """
    if len(data) != expected:
        raise ValueError(f"{len(data)} bytes of numbers in place of {expected}")


def encode_starts(starts: Iterable[EndpointStart]) -> list[dict[str, Any]]:
    """Return starts of endpoints as fields of a message.

    :param starts: the starts.
    """
    return [{"endpoint": start.endpoint_id, "startedAt": start.started_at} for start in starts]


def decode_starts(messages: Any) -> tuple[EndpointStart, ...]:
    """Return the starts of endpoints in a message.

    :param messages: a list of the schema's ``EndpointStart``.
    """
    return tuple(
        EndpointStart(endpoint_id=message.endpoint, started_at=message.startedAt)
        for message in messages
    )
