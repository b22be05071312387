"""The stand-in store as a process of its own: `FD PATH`.

The process of a test runs its crowd. A store in it would answer the reads of an
entry only when the crowd lets it, and an entry whose reads fail isn't ready.

`FD` is the descriptor of the listening socket. `PATH` is a JSON file with a
list of [topic, key, value].
"""

import json
import pathlib
import socket
import sys

from gevent import event

from tests.platform import standin


def main():
    descriptor, path = sys.argv[1:]
    store = standin.Store(listener=socket.socket(fileno=int(descriptor)))
    for topic, key, value in json.loads(pathlib.Path(path).read_text()):
        store.put(topic, key, value)
    event.Event().wait()


if __name__ == "__main__":
    main()
