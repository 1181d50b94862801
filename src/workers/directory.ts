import type { WorkerDescriptor } from "../execution/types.js";
import type { WorkerDirectory } from "../execution/types.js";
import type { Log } from "../node/logs.js";
import { VmState } from "../platform/types.js";
import type { Vm } from "../platform/types.js";
import type { TimerService, Unsubscribe } from "../utils/timer.js";
import type { DescribeWorker, WorkerDescription, WorkerFacts } from "./types.js";

/** Options of {@link createWorkerDirectory}. */
export interface WorkerDirectoryOptions {
    timer: TimerService;
    log: Log;
    /** Endpoint VMs in the latest list from the platform. */
    endpoints: () => readonly Vm[];
    /** Reads a worker's own description. */
    describe: DescribeWorker;
}

/** Pool of all workers: each can run every service. */
export const workerPool = "workers";

/** Polling period; counts towards the few seconds after which a leaving worker must get no new tasks. */
const pollPeriodMs = 1_000;
/** Number of polls after which a known worker's description is read again; a new incarnation's is read at once. */
const pollsPerRefresh = 15;

const addressOf = (vm: Vm): string => vm.httpAddress.replace(/^https?:\/\//, "");

const toWorkerDescriptor = (vm: Vm, description: WorkerDescription): WorkerDescriptor => ({
    id: vm.name,
    service: workerPool,
    address: addressOf(vm),
    availabilityZone: description.availabilityZone,
    labels: [description.rack],
    rack: description.rack,
    capacity: description.capacity,
    bornMs: description.bornMs,
    draining: vm.state === VmState.Leaving || description.leaving,
});

const isUnchanged = (left: WorkerDescriptor | undefined, right: WorkerDescriptor): boolean =>
    left?.bornMs === right.bornMs && left.draining === right.draining && left.address === right.address;

/** Creates the directory of workers, from the platform's list and the workers' own descriptions. */
export const createWorkerDirectory = (
    options: WorkerDirectoryOptions,
): WorkerDirectory & { facts(): WorkerFacts[]; } => {
    const { timer, log } = options;
    const workers = new Map<string, WorkerDescriptor>();
    const listeners: (() => void)[] = [];
    const incarnations = new Map<string, number>();
    let stopPolling: Unsubscribe | undefined;
    let pollCount = 0;

    const updateWorker = (vm: Vm, known: WorkerDescriptor | undefined, descriptor: WorkerDescriptor): boolean => {
        if (isUnchanged(known, descriptor)) {
            return false;
        }
        workers.set(vm.name, descriptor);
        log("info", "worker listed", {
            worker: descriptor.id,
            bornMs: descriptor.bornMs,
            draining: descriptor.draining,
        });
        return true;
    };

    /** Updates one worker and resolves with whether it changed; without an answer its last description stays. */
    const pollWorker = async (vm: Vm, index: number): Promise<boolean> => {
        const known = workers.get(vm.name);
        const isDue = incarnations.get(vm.name) !== vm.incarnation
            || index % pollsPerRefresh === pollCount % pollsPerRefresh;
        const description = known === undefined || isDue ? await options.describe(addressOf(vm)) : undefined;
        if (description?.ok === true) {
            incarnations.set(vm.name, vm.incarnation);
            return updateWorker(vm, known, toWorkerDescriptor(vm, description.value));
        }
        const draining = vm.state === VmState.Leaving || known?.draining === true;
        return known !== undefined && updateWorker(vm, known, { ...known, draining });
    };

    const poll = async (): Promise<void> => {
        const listed = options.endpoints();
        pollCount += 1;
        const names = new Set(listed.map(vm => vm.name));
        const removedNames = [...workers.keys()].filter(name => !names.has(name));
        removedNames.forEach(name => workers.delete(name));
        const changed = await Promise.all(listed.map(pollWorker));
        if (stopPolling !== undefined && (removedNames.length > 0 || changed.some(Boolean))) {
            listeners.forEach(listener => listener());
        }
    };

    return {
        workers: () => workers,
        facts: () =>
            [...workers.values()].map(({ id, availabilityZone, rack, capacity }) => ({
                name: id,
                availabilityZone,
                rack,
                capacity,
            })),
        onChange: listener => {
            listeners.push(listener);
        },
        start: () => {
            if (stopPolling === undefined) {
                stopPolling = timer.every(pollPeriodMs, poll);
                void poll();
            }
        },
        stop: () => {
            stopPolling?.();
            stopPolling = undefined;
            workers.clear();
        },
    };
};
