"""Process of the engine stand-in: ``python -m gypsumpost_bench.engine_stand_in``."""

import argparse

import trio

from gypsumpost_bench.engine_application import EngineApplication
from gypsumpost_bench.engine_batch import EngineBatch, EngineSpeed
from gypsumpost_bench.prefix_cache import PrefixCache
from gypsumpost_bench.stand_in_http import serve_application
from gypsumpost_bench.token_counter import TokenCounter


def main() -> None:
    """Run an engine until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", default="engine-1")
    parser.add_argument("--address", default="127.0.0.1:9001")
    parser.add_argument("--model", action="append", help="model:version:adapter")
    parser.add_argument("--token-gap", type=float, default=0.042, help="seconds")
    parser.add_argument("--counter-file", help="holds the number of produced tokens")
    parser.add_argument("--max-batch", type=int, default=64)
    parser.add_argument("--load-lag", type=float, default=0.5, help="seconds")
    parser.add_argument("--cache-blocks", type=int, default=4096)
    parser.add_argument("--checks-fencing", action="store_true")
    arguments = parser.parse_args()
    trio.run(_serve_engine, arguments)


async def _serve_engine(arguments: argparse.Namespace) -> None:
    speed = EngineSpeed(token_gap=arguments.token_gap, max_batch=arguments.max_batch)
    batch = EngineBatch(
        speed=speed,
        cache=PrefixCache(capacity=arguments.cache_blocks),
        counter=TokenCounter(path=arguments.counter_file),
    )
    application = EngineApplication(
        name=arguments.name,
        batch=batch,
        models=[_parse_model(text) for text in arguments.model or ["summary"]],
        load_lag=arguments.load_lag,
        checks_fencing=arguments.checks_fencing,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(batch.run)
        nursery.start_soon(application.sample_load)
        await serve_application(application, arguments.address)


def _parse_model(text: str) -> dict[str, str]:
    model, version, adapter = (text.split(":") + ["1", ""])[:3] if ":" in text else (text, "1", "")
    return {"model": model, "version": version, "adapter": adapter}


if __name__ == "__main__":
    main()
