"""Interface between the gateway and the platform that it runs on."""

from typing import Protocol

from result import Result

from gypsumpost_core.gateway.configuration import Configuration
from gypsumpost_core.gateway.endpoint_load import EndpointLoad
from gypsumpost_core.gateway.endpoint_record import EndpointRecord
from gypsumpost_core.gateway.engine_state_report import EngineStateReport
from gypsumpost_core.gateway.engine_work import EngineWork
from gypsumpost_core.gateway.stored_item import StoredItem
from gypsumpost_core.rollouts.rollout_order import RolloutOrder
from gypsumpost_core.rollouts.rollout_phase import RolloutPhase
from gypsumpost_daemon.gateway.endpoint_answer import EndpointAnswer
from gypsumpost_daemon.gateway.gateway_settings import GatewaySettings
from gypsumpost_daemon.gateway.header_names import HeaderNames
from gypsumpost_daemon.gateway.item_store import ItemStore


class GatewayAdapter(Protocol):
    """Settings, names, formats and store client of a platform; contains no policy.

    ``headers`` are its header names. Keys that begin with ``configuration_prefix`` or
    ``endpoint_prefix`` are watched in the store; ``configuration_key`` holds the newest
    configuration. Orders of roll-outs have ``rollout_order_prefix``, which begins with
    ``configuration_prefix``, and their status is written under ``rollout_status_prefix``, each
    followed by the service. ``report_path`` is the path at which engines report their state,
    ``move_path`` the path at which they take orders to copy a stream.
    """

    headers: HeaderNames
    configuration_prefix: str
    configuration_key: str
    endpoint_prefix: str
    rollout_order_prefix: str
    rollout_status_prefix: str
    report_path: str
    move_path: str

    def read_settings(self) -> Result[GatewaySettings, list[str]]:
        """Return the settings of this process, or a list of what is wrong with them."""
        ...

    def create_store(self, settings: GatewaySettings) -> ItemStore:
        """Return a client of the store."""
        ...

    def decode_configuration(self, value: bytes) -> Result[Configuration, str]:
        """Return the configuration in a stored document, or why it cannot be read."""
        ...

    def decode_endpoint(self, key: str, value: bytes) -> Result[EndpointRecord, str]:
        """Return the endpoint in a store entry, or why the entry contains none."""
        ...

    def decode_rollout_order(self, item: StoredItem) -> Result[RolloutOrder, str]:
        """Return the order of a roll-out in an item, or why it cannot be read."""
        ...

    def encode_rollout_status(self, phase: RolloutPhase, target_version: str) -> bytes:
        """Return the status of a roll-out for the operators."""
        ...

    def decode_report(self, body: bytes) -> Result[EngineStateReport, str]:
        """Return an engine's report of its state, or why it cannot be read."""
        ...

    def decode_work(self, body: bytes) -> Result[EngineWork, str]:
        """Return the work in an engine's report of its state, or why the report has none."""
        ...

    def decode_load(self, value: bytes) -> Result[EndpointLoad, str]:
        """Return the load in the header of an answer, or why it cannot be read."""
        ...

    def encode_move(self, request_id: str, target: str) -> bytes:
        """Return the body of an order to copy a stream to the engine at an address."""
        ...

    def decode_move(self, answer: EndpointAnswer) -> Result[str, str]:
        """Return the handle of the copy that was ordered, or why there is none."""
        ...
