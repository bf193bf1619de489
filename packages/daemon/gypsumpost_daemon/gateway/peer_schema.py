"""Schema of the messages between gateways."""

from pathlib import Path
from typing import Any

import capnp

SCHEMA: Any = capnp.load(str(Path(__file__).with_name("beacon.capnp")))
