"""Fences: numbers by which workers refuse calls that are out of date.

A worker refuses calls with a lower fence than the highest it has seen. Each
owner has a range of fences, which begins at its epoch and lies above those of
all earlier owners. Within it the owner raises the fence of a worker with each
new process of that worker. A worker that starts again under its id has seen no
fence: without that, it would carry out late calls for its earlier process,
whose deadlines are times of another clock.
"""

# Fences of one owner: one for each process of a worker during its term.
FENCES_PER_EPOCH = 1 << 16


def compute_next_epoch(epoch: int) -> int:
    """Return the epoch that follows, above all fences of `epoch`.

    It is a multiple of the distance also after an epoch of an earlier build,
    which is one above its predecessor: ranges of owners never overlap.
    """
    return (epoch // FENCES_PER_EPOCH + 1) * FENCES_PER_EPOCH


class WorkerFences:
    """Present fence of each worker, for one owner.

    Args:
        epoch: Epoch of the owner.
    """

    def __init__(self, *, epoch: int):
        self._epoch = epoch
        self._fences: dict[str, int] = {}

    def get(self, worker: str) -> int:
        """Return the fence of new calls to a worker."""
        return self._fences.get(worker, self._epoch)

    def advance(self, worker: str) -> bool:
        """Go on to the next fence of a worker; the first one is the epoch.

        Returns:
            Whether there was one; False once the owner has used its range.
        """
        fence = self._fences.get(worker, self._epoch - 1) + 1
        if fence == compute_next_epoch(self._epoch):
            return False
        self._fences[worker] = fence
        return True
