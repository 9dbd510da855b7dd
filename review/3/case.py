"""Discovery is slow: each watch is answered 1.5 s after it was asked for. The sidecar must still learn of a drain in the 6 s
after which the change counts as told."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from rig import *

ANSWER_AFTER_S = 1.5
TOLD_AFTER_S = 6.0  # a change counts as told at the latest this long after discovery had it and could be reached
GRACE_S = 2.0 + 0.05  # of the site, and what every limit is longer on sockets
LEAVING_ENDS_S = 12.0  # the leaving pod has long completed what it had, and its machine goes
RUN_S = 14.0
CLIENTS = 20
DEADLINE_MS = 4000


async def use(record, sidecar, number, until, answers):
    """A usual client: one order after another on a kept connection."""
    client, count = None, 0
    await asyncio.sleep(number * 0.25 / CLIENTS)
    while time.monotonic() < until:
        count += 1
        id = f"order-{number}-{count}"
        try:
            if client is None or client.is_closed():
                client = await Client(record, f"client-{number}", sidecar.port).connect()
            await client.send("POST", "/reindex-order/a", id, DEADLINE_MS, b"z" * 100)
            answers[id] = await client.answer(id, DEADLINE_MS / 1000 + 0.55)
        except ConnectionError:
            client = None
            continue
        await asyncio.sleep(0.05)


async def case(record, trouble):
    pods = [await Pod(record, f"s-{number}", work_ms=200).start() for number in range(4)]
    leaving = pods[0]
    discovery = await Discovery(record, 41, [entry(pod) for pod in pods]).start()
    platform = await Platform(record).start()
    classes = [route_class("code-query", "free", 1000, DEADLINE_MS, 2.0),
               route_class("reindex-order", "single_shot", 1500, DEADLINE_MS, 3.0, 0.2)]
    # The configuration holds the list as the sidecar last held it: one change behind.
    sidecar = Sidecar(record, configuration(discovery, platform, pods, settings(classes)))
    await discovery.update([entry(leaving, health="leaving")])
    if trouble:
        discovery.answer_after = ANSWER_AFTER_S
    answers, broken = {}, []
    try:
        await sidecar.start()
        began = time.monotonic()
        users = [asyncio.ensure_future(use(record, sidecar, number, began + RUN_S, answers)) for number in range(CLIENTS)]
        await asyncio.sleep(LEAVING_ENDS_S)
        record.write(leaving.name, "ends")
        await leaving.stop()
        await asyncio.gather(*users)
    finally:
        sidecar.stop()
    late = [(came - began, id) for came, id in leaving.got if came - began > TOLD_AFTER_S + GRACE_S]
    if late:
        broken.append(f"{len(late)} attempts were sent to {leaving.name}, which is leaving, up to {late[-1][0]:.1f} s after the "
                      f"sidecar was ready; the last that passes is {TOLD_AFTER_S + GRACE_S:.2f} s after")
    for _, id in late:
        answer = answers.get(id)
        if answer is not None and answer.status != 200:
            broken.append(f"{id} was one of them; the pod ended under it, and its client was answered {answer.status}")
    served = sum(answer.status == 200 for answer in answers.values())
    record.write("test", "orders", served=served, late=len(late), lists_written=len(discovery.delivered))
    print(f"orders served {served}; late attempts at the leaving pod {len(late)}; lists written {len(discovery.delivered)}")
    if not served:
        raise CouldNotRun("no order was served")
    return broken


run_case(os.path.dirname(os.path.abspath(__file__)), case)
