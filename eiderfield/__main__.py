"""One dispatcher on sockets: reads its configuration and runs until SIGTERM.

On SIGHUP it reads the configuration again and moves to the discovery that this names.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable, Sequence
from functools import partial

from eiderfield.config.errors import ConfigError
from eiderfield.config.loader import Config, load
from eiderfield.net.clock import MonotonicClock
from eiderfield.net.selector import new_event_loop
from eiderfield.program.log import log
from eiderfield.program.program import Program

EXIT_FAULTY_CONFIGURATION = 2


async def serve(config: Config, load_again: Callable[[], Config], hung_up: list[int] | None = None) -> None:
    """Run one dispatcher until SIGTERM or SIGINT. `hung_up` holds each SIGHUP received before."""
    loop = asyncio.get_running_loop()
    # An error that reaches the event loop is logged and does not end the program.
    loop.set_exception_handler(lambda _, at: log(f"{at.get('message')}: {at.get('exception')!r}"))
    program = Program(config, loop, MonotonicClock())
    loop.add_signal_handler(signal.SIGTERM, program.stop)
    loop.add_signal_handler(signal.SIGINT, program.stop)
    loop.add_signal_handler(signal.SIGHUP, program.reload, load_again)
    if hung_up:  # the file may have been read before it changed
        program.reload(load_again)
    await program.start()
    gc.collect()
    gc.freeze()  # objects that live as long as the process need no further collection
    log(f"{config.name} listens on {config.listen[0]}:{config.listen[1]}")
    await program.ended.wait()


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program; return 2 after one line on standard error if the configuration is faulty."""
    parser = argparse.ArgumentParser(prog="eiderfield", description="A dispatcher of requests to workers.")
    parser.add_argument("--config", metavar="FILE", help="an operator's TOML file instead of LB_CONFIG")
    options = parser.parse_args(arguments)
    hung_up: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: hung_up.append(number))  # which would end the process
    try:
        read = partial(load, os.environ, options.config)
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(serve(read(), partial(read, reload=True), hung_up))
    except ConfigError as error:
        log(str(error))
        return EXIT_FAULTY_CONFIGURATION
    return 0


if __name__ == "__main__":
    sys.exit(main())
