import { assert } from "chai";
import { jobRowKey, JobRowKind } from "../src/jobs/rows.js";
import { fitCount } from "../src/planning/resources.js";
import { CallFault, createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet, FleetWorker } from "./fixtures/fleet.js";

const settleMs = 1_000;
/** Time after which waiting work may use room that is kept free, and in which users see that it stands still. */
const longestWaitMs = 1_500 + 3_000;
const sampleMs = 50;
const capacityOfWorker = 8;
/** Accelerators in use on each worker of the busy rack. */
const busyAccelerators = 5;
const workers = { busy: 34, room: 6 };

const resourcesOf = (accelerators: number) => ({
    milliCores: 8_000 * accelerators,
    memoryMb: 16_000 * accelerators,
    accelerators,
});

const addRack = (fleet: Fleet, rack: string, count: number): void => {
    for (let index = 0; index < count; index++) {
        fleet.addWorker(`${rack}-${index}`, rack);
    }
};

const submitTo = async (
    fleet: Fleet,
    rack: string,
    taskCount: number,
    accelerators: number,
    { priority = 1, workMs = 120_000 } = {},
): Promise<void> => {
    const step = createStep({
        taskCount,
        resources: resourcesOf(accelerators),
        requiredLabel: rack,
        estimateMs: workMs,
    });
    await fleet.submit(createSubmission(`in-${rack}`, [step], { priority }, { workMs }));
};

/** Accelerators in use on each worker that exists, by what runs there: all tasks but those in the busy rack fill one. */
const usedByWorker = (fleet: Fleet): Map<string, number> => {
    const used = new Map([...fleet.workers.keys()].map(id => [id, 0]));
    for (const { worker, task } of fleet.spans.filter(({ toMs }) => toMs === undefined)) {
        const before = used.get(worker);
        if (before !== undefined) {
            used.set(worker, before + (task.startsWith("in-busy.") ? busyAccelerators : capacityOfWorker));
        }
    }
    return used;
};

/** Fills the busy rack to five eighths; urgent work that has just ended makes the planner keep the other rack free. */
const createFleetWithHeadroom = async (others: Readonly<Record<string, number>>): Promise<Fleet> => {
    const fleet = createFleet({ workerCount: 0 });
    Object.entries({ ...workers, ...others }).forEach(([rack, count]) => addRack(fleet, rack, count));
    fleet.notify();
    await fleet.timer.advance(settleMs);
    await submitTo(fleet, "busy", workers.busy, busyAccelerators);
    await fleet.timer.advance(settleMs);
    return fleet;
};

const runUrgentWork = async (fleet: Fleet): Promise<void> => {
    await submitTo(fleet, "room", workers.room, capacityOfWorker, { priority: 0, workMs: 500 });
    await fleet.timer.advance(settleMs);
};

const workersIn = (fleet: Fleet, rack: string): FleetWorker[] =>
    [...fleet.workers.values()].filter(({ descriptor }) => descriptor.rack === rack);

const idsIn = (fleet: Fleet, rack: string): string[] => workersIn(fleet, rack).map(({ descriptor: { id } }) => id);

/** Submits work that fits only on the rack that is kept free, and checks that it starts while the use is below half. */
const expectStart = async (fleet: Fleet): Promise<void> => {
    const step = createStep({ resources: resourcesOf(4), estimateMs: 5_000 });
    await fleet.submit(createSubmission("waiting", [step], { targetLatencyMs: 60_000 }, { workMs: 5_000 }));
    for (let waitedMs = 0; waitedMs < longestWaitMs; waitedMs += sampleMs) {
        await fleet.timer.advance(sampleMs);
        if (fleet.spans.some(({ task }) => task.startsWith("waiting."))) {
            return;
        }
        const used = usedByWorker(fleet);
        const inUse = [...used.values()].reduce((sum, accelerators) => sum + accelerators, 0);
        assert.isBelow(inUse / (used.size * capacityOfWorker), 0.5, "share in use on the workers that exist");
        const room = idsIn(fleet, "room").reduce(
            (sum, id) => sum + fitCount(resourcesOf(capacityOfWorker - (used.get(id) ?? 0)), step.resources),
            0,
        );
        assert.isAtLeast(room, 2, "tasks for which there is room");
    }
    assert.fail("work that fits twice over stands still for 3 s while less than half is in use");
};

describe("work that fits twice over while less than half of the workers' capacity is in use", () => {
    it("starts although runs on lost workers are not known to have ended, and other workers drain", async () => {
        const fleet = await createFleetWithHeadroom({ leaving: 8, lost: 6 });
        await submitTo(fleet, "lost", 6, 8);
        await fleet.timer.advance(settleMs);
        workersIn(fleet, "leaving").forEach(worker => {
            worker.descriptor = { ...worker.descriptor, draining: true };
        });
        fleet.notify();
        await runUrgentWork(fleet);
        idsIn(fleet, "lost").forEach(fleet.removeWorker);
        await expectStart(fleet);
    });

    const cutOffZone = async (): Promise<Fleet> => {
        const fleet = await createFleetWithHeadroom({ cut: 12 });
        await submitTo(fleet, "cut", 12, 8);
        await fleet.timer.advance(settleMs);
        workersIn(fleet, "cut").forEach(worker => {
            worker.unreachable = true;
        });
        fleet.killVm(fleet.planner() ?? "");
        return fleet;
    };
    /** Longer than a lease with the submissions that follow, so that the workers have ended their runs. */
    const untilRunsLapsedMs = 6_500;

    it("starts although runs of a cut-off zone are not known to have ended after a change of planner", async () => {
        const fleet = await cutOffZone();
        await fleet.timer.advance(untilRunsLapsedMs);
        await runUrgentWork(fleet);
        await expectStart(fleet);
    });

    it("starts although runs of a cut-off zone are not known to have ended after two changes of planner", async () => {
        const fleet = await cutOffZone();
        const secondChangeMs = 4_000;
        await fleet.timer.advance(secondChangeMs);
        fleet.killVm(fleet.planner() ?? "");
        await fleet.timer.advance(untilRunsLapsedMs - secondChangeMs);
        await runUrgentWork(fleet);
        await expectStart(fleet);
    });

    it("starts although the placement of other work is not recorded yet", async () => {
        const fleet = await createFleetWithHeadroom({ gang: 8 });
        await runUrgentWork(fleet);
        const step = createStep({ taskCount: 8, gang: true, resources: resourcesOf(8), requiredLabel: "gang" });
        const recordedKey = jobRowKey("unrecorded", JobRowKind.Progress);
        fleet.commitFault = (_vm, { writes }) =>
            writes.some(({ key }) => key === recordedKey) ? CallFault.RequestLost : CallFault.None;
        await fleet.submit(createSubmission("unrecorded", [step]));
        await expectStart(fleet);
    });

    it("starts although runs on lost workers are not known to have ended", async () => {
        const fleet = await createFleetWithHeadroom({ idle: 8, lost: 6 });
        await submitTo(fleet, "lost", 6, 8);
        await fleet.timer.advance(settleMs);
        await runUrgentWork(fleet);
        idsIn(fleet, "lost").forEach(fleet.removeWorker);
        await expectStart(fleet);
    });
});
