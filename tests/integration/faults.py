"""Faults that the fault cases inject, one function each.

A fault function takes a `FaultTarget`.
"""

import gevent

from chervilcove.standins import log
from chervilcove.standins import worker as workers

HOLD_S = 1.5


class FaultTarget:
    """The system that a fault is injected into, and the gang it concerns.

    The victim is the worker of the first running task of the gang. The owner
    is the entry that is responsible for the rack of the victim.
    """

    def __init__(self, system, job):
        self.system = system
        self.job = job

    def find_victim(self):
        running = self.system.list_running(self.job)
        return running[0]["worker"] if running else "worker-0"

    def find_owner(self):
        victim = self.find_victim()
        rack = f"{self.system.centres[victim]}-1"
        for name, entry in self.system.entries.items():
            if entry.membership.is_owner(rack):
                return name
        return self.system.any_entry()

    def get_victim_proxy(self):
        return self.system.worker_proxies[self.find_victim()]

    def get_log_proxy(self):
        return self.system.log_proxies[self.find_owner()]


def _set_log(**faults):
    def inject(target):
        target.system.log.faults = log.Faults(**faults)

    return inject


def _set_proxy(get_proxy, **faults):
    def inject(target):
        found = get_proxy(target)
        for name, value in faults.items():
            setattr(found, name, value)

    return inject


def _call_proxy(get_proxy, name):
    def inject(target):
        getattr(get_proxy(target), name)()

    return inject


def _call_all_proxies(proxies, action):
    def inject(target):
        for each in getattr(target.system, proxies).values():
            action(each)

    return inject


def hold_worker(target):
    """Hold back all bytes to and from a worker, then forward them late."""
    worker_proxy = target.get_victim_proxy()
    worker_proxy.holding = True
    gevent.spawn_later(HOLD_S, worker_proxy.heal)


def _cut_off_worker(**faults):
    """Return a fault that drops bytes of a worker until the end of the case.

    The tasks on the worker continue to run.
    """

    def inject(target):
        target.system.lost_workers.add(target.find_victim())
        _set_proxy(FaultTarget.get_victim_proxy, **faults)(target)

    return inject


def kill_owner(target):
    target.system.kill_entry(target.find_owner())


def replace_owner(target):
    target.system.kill_entry(target.find_owner())
    target.system.add_entry("entry-new")


def kill_worker(target):
    target.system.kill_worker(target.find_victim())


def kill_rack(target):
    centre = target.system.centres[target.find_victim()]
    for name, each in target.system.centres.items():
        if each == centre:
            target.system.kill_worker(name)


def fail_tasks(target):
    name = target.find_victim()
    for worker in target.system.workers:
        if worker.name == name:
            worker.faults = workers.Faults(fails_everything=True)


def take_centre_out(target):
    victim = target.find_victim()
    target.system.change_data_centre(target.system.centres[victim], False)


def take_centre_out_and_back(target):
    centre = target.system.centres[target.find_victim()]
    target.system.change_data_centre(centre, False)
    gevent.sleep(0.3)
    target.system.change_data_centre(centre, True)


def take_centre_out_twice(target):
    take_centre_out_and_back(target)
    take_centre_out_and_back(target)


def take_centre_out_and_submit(target):
    """Submit jobs while a data centre is being taken out of service."""
    take_centre_out(target)
    for _ in range(3):
        target.system.submit(tasks=1, accelerators=1)


def race_operators(target):
    """Let two operators change the same revision through different entries."""
    names = list(target.system.entries)
    greenlets = [
        gevent.spawn(
            target.system.call,
            names[i % len(names)],
            "POST",
            "/v1/notes",
            {
                **target.system.build_note(1),
                "changed": [
                    {
                        "type": "customer",
                        "name": "families",
                        "weight": 2.0 + i,
                    }
                ],
            },
        )
        for i in range(2)
    ]
    gevent.joinall(greenlets)


def cancel_job(target):
    name = target.system.any_entry()
    target.system.call(name, "POST", f"/v1/jobs/{target.job}/cancel")


def submit_and_cancel_many(target):
    jobs = [
        target.system.submit(tasks=1, accelerators=1, customer="families")
        for _ in range(10)
    ]
    for job in jobs:
        name = target.system.any_entry()
        target.system.call(name, "POST", f"/v1/jobs/{job}/cancel")


def leave_minion(target):
    minion = target.system.minions[0]
    minion.leave()
    target.system.leaving[minion.name] = minion.records.leaving_since


def kill_minion(target):
    target.system.minion_proxies["minion-0"].refusing = True
    target.system.minion_proxies["minion-0"].reset_connections()


_GET_VICTIM_PROXY = FaultTarget.get_victim_proxy
_GET_LOG_PROXY = FaultTarget.get_log_proxy


def _get_list_proxy(target):
    return target.system.list_proxy


def _get_minion_proxy(target):
    return target.system.minion_proxies["minion-0"]


FAULTS = {
    "log_down": _set_log(down=True),
    "log_slow": _set_log(append_delay_s=0.7),
    "log_answers_lost": _set_log(lost_answers=3),
    "log_silent": _call_proxy(_GET_LOG_PROXY, "silence"),
    "log_cut_off": _call_proxy(_GET_LOG_PROXY, "partition"),
    "log_one_way": _set_proxy(_GET_LOG_PROXY, dropping_down=True),
    "log_reset": _call_proxy(_GET_LOG_PROXY, "reset_connections"),
    "log_cut_mid_frame": _set_proxy(_GET_LOG_PROXY, cut_after=60),
    "log_delayed": _set_proxy(_GET_LOG_PROXY, delay_s=0.1),
    "worker_cut_off": _call_proxy(_GET_VICTIM_PROXY, "partition"),
    "worker_refusing": _set_proxy(_GET_VICTIM_PROXY, refusing=True),
    "worker_silent": _call_proxy(_GET_VICTIM_PROXY, "silence"),
    "worker_reset": _call_proxy(_GET_VICTIM_PROXY, "reset_connections"),
    "worker_delayed": _set_proxy(_GET_VICTIM_PROXY, delay_s=0.1),
    "worker_deaf": _set_proxy(_GET_VICTIM_PROXY, dropping_up=True),
    "worker_mute": _set_proxy(_GET_VICTIM_PROXY, dropping_down=True),
    "worker_answers_lost": _set_proxy(_GET_VICTIM_PROXY, lost_answers=3),
    "worker_cut_mid_frame": _set_proxy(_GET_VICTIM_PROXY, cut_after=80),
    "worker_gone": _cut_off_worker(dropping_up=True, dropping_down=True),
    "worker_gone_deaf": _cut_off_worker(dropping_up=True),
    "worker_gone_mute": _cut_off_worker(dropping_down=True),
    "worker_held": hold_worker,
    "worker_killed": kill_worker,
    "worker_failing": fail_tasks,
    "workers_silent": _call_all_proxies(
        "worker_proxies", lambda each: each.silence()
    ),
    "rack_lost": kill_rack,
    "entry_killed": kill_owner,
    "entry_replaced": replace_owner,
    "list_down": _set_proxy(_get_list_proxy, refusing=True),
    "list_silent": _call_proxy(_get_list_proxy, "silence"),
    "centre_out": take_centre_out,
    "centre_out_and_back": take_centre_out_and_back,
    "centre_out_twice": take_centre_out_twice,
    "centre_out_and_submits": take_centre_out_and_submit,
    "operators_race": race_operators,
    "cancelled": cancel_job,
    "cancel_wave": submit_and_cancel_many,
    "minion_leaving": leave_minion,
    "minion_killed": kill_minion,
    "minion_silent": _call_proxy(_get_minion_proxy, "silence"),
    "minion_answers_lost": _set_proxy(_get_minion_proxy, lost_answers=2),
    "minion_cut_mid_frame": _set_proxy(_get_minion_proxy, cut_after=40),
}


def heal(system):
    """End all faults that can end; killed and lost parts stay unavailable."""
    system.log.faults = log.Faults()
    lost = system.lost_workers | {kill.worker for kill in system.kills}
    for name, each in system.worker_proxies.items():
        if name not in lost:
            each.heal()
    for proxies in (system.log_proxies, system.minion_proxies):
        for each in proxies.values():
            each.heal()
    system.list_proxy.heal()
    for worker in system.workers:
        worker.faults = workers.Faults()
