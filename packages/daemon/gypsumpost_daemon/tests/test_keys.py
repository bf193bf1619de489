"""Tests of the directory of idempotency keys."""

import functools

import trio
from result import Ok

from gypsumpost_daemon.generations.idempotency_key_client import KEY_REUSED, IdempotencyKeyClient
from gypsumpost_daemon.generations.idempotency_key_directory import IdempotencyKeyDirectory
from gypsumpost_daemon.generations.idempotency_key_entry import IdempotencyKeyEntry
from gypsumpost_daemon.peers.message_kind import MessageKind
from gypsumpost_daemon.tests.copy_fixtures import FakeNetwork, create_directory, create_record

HOSTS = ("left", "middle", "right")


def create_entry(generation_id="generation1", **changes):
    fields = {
        "workspace": "w1",
        "key": "k1",
        "digest": "d1",
        "generation_id": generation_id,
        "home": "left",
        "copy": "-",
        "created_at": 1.0,
        "keep_until": 4e9,
    }
    return IdempotencyKeyEntry(**(fields | changes))


class Hosts:
    """Key clients of three hosts; removing the handler of a host makes it unreachable."""

    def __init__(self):
        self.handlers = {}
        self.clients = {name: self._create_client(name) for name in HOSTS}

    def _create_client(self, name):
        entries = IdempotencyKeyDirectory()
        self.handlers[name, MessageKind.REGISTER_KEY] = functools.partial(self._answer, entries)
        others = [other for other in HOSTS if other != name]
        return IdempotencyKeyClient(
            directory=create_directory(name, *others),
            network=FakeNetwork(name, self.handlers),
            own_entries=entries,
        )

    async def _answer(self, entries, request):
        await trio.sleep(0.01)
        return await entries.handle(request)

    async def find(self, host, generation_id, body=b"{}", workspace="w1"):
        record = create_record(
            generation_id=generation_id, idempotency_key="k1", body=body, workspace=workspace
        )
        return await self.clients[host].find(record)


def test_first_registration_stays_until_an_update():
    """Guards against a second request replacing the generation of the first."""
    directory = IdempotencyKeyDirectory()
    first, second = create_entry(), create_entry("generation2")
    assert directory.register(first, update=False) == first
    assert directory.register(second, update=False) == first
    assert directory.register(second, update=True) == second
    assert directory.register(first, update=False) == second
    other = create_entry("generation3", workspace="w2")
    assert directory.register(other, update=False) == other


def test_full_directory_accepts_no_new_keys(monkeypatch):
    """Guards against unlimited memory use by keys; the request runs without registration."""
    monkeypatch.setattr("gypsumpost_daemon.generations.idempotency_key_directory.MAX_ENTRIES", 1)
    directory = IdempotencyKeyDirectory()
    directory.register(create_entry(), update=False)
    other = create_entry("generation2", key="k2")
    assert directory.register(other, update=False) == other
    assert directory.count == 1


async def test_keys_expire_at_their_deadline(autojump_clock):
    """Guards against a key that refers to a generation which no longer exists."""
    directory = IdempotencyKeyDirectory()
    directory.register(create_entry(keep_until=1.0), update=False)
    directory.register(create_entry(key="k2"), update=False)
    with trio.move_on_after(2.5):
        await directory.run()
    assert directory.count == 1


async def test_retry_at_another_host_finds_the_generation():
    """Guards against starting a second generation for a retried request."""
    hosts = Hosts()
    assert await hosts.find("left", "generation1") == Ok(None)
    for host in HOSTS:
        found = (await hosts.find(host, "generation2")).ok_value
        assert (found.generation_id, found.home) == ("generation1", "left")


async def test_update_names_the_holder_of_the_copy():
    """Guards against a retry that cannot find the copy after the loss of the home."""
    hosts = Hosts()
    await hosts.find("left", "generation1")
    record = create_record(generation_id="generation1", idempotency_key="k1")
    await hosts.clients["left"].register(record, ["middle"])
    assert (await hosts.find("right", "generation2")).ok_value.copy == "middle"


async def test_racing_registrations_agree_on_one_generation(autojump_clock):
    """Guards against two concurrent requests that each join the generation of the other."""
    hosts = Hosts()
    found = {}

    async def find(host):
        outcome = await hosts.find(host, f"generation-{host}")
        found[host] = outcome.ok_value.generation_id if outcome.ok_value else f"generation-{host}"

    async with trio.open_nursery() as nursery:
        for host in HOSTS:
            nursery.start_soon(find, host)
    assert len(set(found.values())) == 1


async def test_other_body_under_the_same_key_is_refused():
    """Guards against returning the answer to a different request."""
    hosts = Hosts()
    await hosts.find("left", "generation1")
    assert (await hosts.find("right", "generation2", body=b"[]")).err_value == KEY_REUSED
    assert await hosts.find("right", "generation3", body=b"[]", workspace="w2") == Ok(None)


async def test_request_runs_without_reachable_holders():
    """Guards against generations that fail because the hosts responsible for the key are lost."""
    hosts = Hosts()
    hosts.handlers.clear()
    assert await hosts.find("left", "generation1") == Ok(None)


async def test_second_holder_answers_when_the_first_is_lost():
    """Guards against the loss of a key with a single host."""
    hosts = Hosts()
    await hosts.find("left", "generation1")
    record = create_record(idempotency_key="k1")
    client = hosts.clients["right"]
    responsible = [h.host_id for h in client._choose_hosts(client._create_entry(record, "-"))]
    for lost in responsible:
        handlers = dict(hosts.handlers)
        hosts.handlers.pop((lost, MessageKind.REGISTER_KEY))
        asker = next(name for name in HOSTS if name not in responsible)
        found = (await hosts.find(asker, "generation2")).ok_value
        assert found.generation_id == "generation1"
        hosts.handlers.update(handlers)
