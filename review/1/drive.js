/** Another writer's entry in the table of workers: its service is named by no manifest, its key is not Latin text. */
import { fileURLToPath } from "node:url";
import { couldNotRun, findFreePort, runCase, sleep } from "../standins/deployment.js";

/** Time without disturbance before the entry, more than `contact-ms`. */
const settleMs = 5_000;
/** Time after the only request after which the job must be running, `finish_s`, and the time for which it is watched. */
const finishMs = 14_000;
const idleMs = 3_000;
const jobId = "5c0e7a21d94b36f8";

const foreignKey = "inventory-Łódź-1";
const foreignEntry = address => ({
    service: "inventory",
    address,
    zone: "north-a",
    version: "7",
    slots: 1,
    state: "ready",
    "cold-remaining-ms": 0,
    capacity: { cpu: 1_000, "mem-mb": 1_000, gpu: 0 },
    labels: [],
    born: Date.now(),
    sequence: 1,
});

const countStarts = events => events.filter(({ event }) => event === "run started").length;
const countEnds = events => events.filter(({ event }) => event === "run ended").length;

const play = async ({ store, vms, events, record, send }, isTrouble) => {
    await sleep(settleMs);
    if (isTrouble) {
        const entry = foreignEntry(`127.0.0.1:${await findFreePort()}`);
        record({ event: "entry of another writer", key: foreignKey, entry });
        store.set("servers", foreignKey, entry);
    }
    await sleep(1_000);
    const steps = [{ count: 2, cpu: 1_000, "mem-mb": 1_000, gpu: 1, "estimate-ms": 500 }];
    const submission = { spec: JSON.stringify({ workMs: 500 }), steps };
    let accepted = false;
    for (let attempt = 0; attempt < 20 && !accepted; attempt++) {
        accepted = (await send(vms[attempt % vms.length], "POST", `/bookings/${jobId}`, submission)).status === 200;
        await sleep(500);
    }
    if (!accepted) {
        return couldNotRun;
    }
    await sleep(finishMs);
    const startsBefore = countStarts(events);
    await sleep(idleMs);
    const ownEnds = vms.map(vm => events.filter(event => event.byItself === true && event.vm === vm.name).length);
    record({ event: "processes that ended by themselves", byMachine: ownEnds });
    const { body } = await send(vms.at(-1), "GET", `/bookings/${jobId}`);
    const hasEnded = body?.state === "succeeded";
    const isRunning = countStarts(events) > startsBefore || countEnds(events) < countStarts(events);
    return hasEnded || isRunning ? 0 : 1;
};

const recordFile = fileURLToPath(new URL("record.txt", import.meta.url));
await runCase({ recordFile, workerCount: 3, vmCount: 3 }, play);
