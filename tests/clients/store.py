"""The stand-in store as a process of its own: `FD PATH`.

The process of a test runs its crowd. A store in it would answer the reads of an
entry only when the crowd lets it, and an entry whose reads fail isn't ready.

`FD` is the descriptor of the listening socket. `PATH` is a JSON file with a
list of [topic, key, value in Base64].
"""

import base64
import collections
import json
import pathlib
import socket
import sys

from gevent import event

from chervilcove.standins import ledger as ledgers
from tests.platform import standin

PAGE_SIZE = 500


def main():
    descriptor, path = sys.argv[1:]
    # Complete before the first read, which may come at once.
    topics = collections.defaultdict(ledgers.MemoryLedger)
    for topic, key, value in json.loads(pathlib.Path(path).read_text()):
        items = [(key, base64.b64decode(value))]
        topics[topic].append(items, timeout_s=1)
    store = standin.Store(
        listener=socket.socket(fileno=int(descriptor)), topics=topics
    )
    store.page_size = PAGE_SIZE
    event.Event().wait()


if __name__ == "__main__":
    main()
