"""Process of a stand-in for a plain service, such as a gate charge or a filing portal."""

import defopt
import trio

from gypsumpost_bench.service_application import ServiceApplication
from gypsumpost_bench.stand_in_http import serve_application


async def run_service(*, address: str, name: str = "service", execution_log: str = "") -> None:
    """Serve until cancelled.

    :param address: ``ip:port`` to listen on.
    :param name: name of this process, shown in each answer.
    :param execution_log: file to append the id of each executed call to, empty for none; it
        outlives a killed process.
    """
    await serve_application(ServiceApplication(name=name, execution_log=execution_log), address)


if __name__ == "__main__":
    trio.run(defopt.bind(run_service))
