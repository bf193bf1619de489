"""Tests of the prefill time that hosts share over the network."""

import trio
from result import Ok

from gypsumpost_bench.simulated_fleet import create_directory, create_hosts
from gypsumpost_bench.simulated_network import SimulatedNetwork, SimulatedPort
from gypsumpost_core.prefill.prefill_turns import PrefillTurn
from gypsumpost_daemon.prefill.turn_codec import (
    decode_turn_reply,
    decode_turn_request,
    encode_turn_reply,
    encode_turn_request,
)
from gypsumpost_daemon.prefill.turn_desk import SILENCE_SECONDS, TurnDesk
from gypsumpost_daemon.prefill.turn_request import TurnRequest

MAX_WAIT_SECONDS = 0.5
"""A ninth of the objective of the streams that are paced."""

REQUEST = TurnRequest(engine="e-1/1", seconds=2.0)


def create_desks(network):
    hosts = create_hosts(6)
    return [
        TurnDesk(
            directory=create_directory(host, hosts),
            peers=SimulatedPort(network=network, host_id=host.host_id),
        )
        for host in hosts
    ]


async def take_all(desks, domain):
    turns = []
    for desk in desks:
        turns.append(await desk.take(REQUEST, domain))
    return [turn.granted for turn in turns]


async def test_one_of_all_hosts_gets_an_engine(autojump_clock):
    """Guards against hosts that send prompts to one engine because reports are old."""
    desks = create_desks(SimulatedNetwork())
    granted = await take_all(desks, "zone-a")
    assert granted == [True] + [False] * 5


async def test_hosts_go_on_while_the_coordinator_is_cut_off(autojump_clock):
    """Guards against prompts that wait for a host that does not reply."""
    cut = {"until": 0.0}
    network = SimulatedNetwork(is_cut=lambda sender, receiver: trio.current_time() < cut["until"])
    desks = create_desks(network)
    cut["until"] = trio.current_time() + 5.0
    for desk in desks:
        started_at = trio.current_time()
        await desk.take(REQUEST, "zone-a")
        assert trio.current_time() - started_at < MAX_WAIT_SECONDS
    assert sum(await take_all(desks, "zone-a")) == 5, "only the coordinator knows of its grant"
    await trio.sleep(5.0 + SILENCE_SECONDS)
    assert sum(await take_all(desks, "zone-a")) == 1


def test_messages_are_decoded_as_encoded():
    """Guards against times that change their unit on the way, and against foreign bytes."""
    assert decode_turn_request(encode_turn_request(REQUEST)) == Ok(REQUEST)
    turn = PrefillTurn(granted=False, opens_at=12.5)
    assert decode_turn_reply(encode_turn_reply(turn, 10.0), 10.0) == Ok(turn)
    assert decode_turn_request(b"\xff" * 3).is_err()
    assert decode_turn_reply(b"\xff" * 3, 0.0).is_err()
