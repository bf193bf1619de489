"""Process of a stand-in for a plain service, such as a gate charge or a filing portal."""

import defopt
import trio

from gypsumpost_bench.service_application import ServiceApplication
from gypsumpost_bench.stand_in_http import serve_application


async def run_service(*, address: str, name: str = "service") -> None:
    """Serve until cancelled.

    :param address: ``ip:port`` to listen on.
    :param name: name of this process, shown in each answer.
    """
    await serve_application(ServiceApplication(name=name), address)


if __name__ == "__main__":
    trio.run(defopt.bind(run_service))
