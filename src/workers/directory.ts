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
    /** Endpoint VMs as the platform last listed them. */
    endpoints: () => readonly Vm[];
    describe: DescribeWorker;
}

/** Pool of the workers; each runs every service. */
export const workerPool = "workers";

/** Time between looks at the list, a part of the seconds in which a leaving worker gets no new work. */
const lookMs = 1_000;
/** Looks in which every known worker is asked once; the list tells of replaced ones at once. */
const looksPerRefresh = 15;

const addressOf = (vm: Vm): string => vm.httpAddress.replace(/^https?:\/\//, "");

const toView = (vm: Vm, description: WorkerDescription): WorkerDescriptor => ({
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

const isSame = (left: WorkerDescriptor | undefined, right: WorkerDescriptor): boolean =>
    left?.bornMs === right.bornMs && left.draining === right.draining && left.address === right.address;

/** Creates the list of workers from the platform's list and from what workers say of themselves. */
export const createWorkerDirectory = (
    options: WorkerDirectoryOptions,
): WorkerDirectory & { facts(): WorkerFacts[]; } => {
    const { timer, log } = options;
    const views = new Map<string, WorkerDescriptor>();
    const listeners: (() => void)[] = [];
    const incarnations = new Map<string, number>();
    let stopLooking: Unsubscribe | undefined;
    let looks = 0;

    const take = (vm: Vm, known: WorkerDescriptor | undefined, view: WorkerDescriptor): boolean => {
        if (isSame(known, view)) {
            return false;
        }
        views.set(vm.name, view);
        log("info", "worker listed", { worker: view.id, bornMs: view.bornMs, draining: view.draining });
        return true;
    };

    /** Takes what is known of one worker now; the one that does not answer stays as it was known. */
    const lookAt = async (vm: Vm, index: number): Promise<boolean> => {
        const known = views.get(vm.name);
        const isDue = incarnations.get(vm.name) !== vm.incarnation
            || index % looksPerRefresh === looks % looksPerRefresh;
        const described = known === undefined || isDue ? await options.describe(addressOf(vm)) : undefined;
        if (described?.ok === true) {
            incarnations.set(vm.name, vm.incarnation);
            return take(vm, known, toView(vm, described.value));
        }
        const draining = vm.state === VmState.Leaving || known?.draining === true;
        return known !== undefined && take(vm, known, { ...known, draining });
    };

    const look = async (): Promise<void> => {
        const listed = options.endpoints();
        looks += 1;
        const names = new Set(listed.map(vm => vm.name));
        const gone = [...views.keys()].filter(name => !names.has(name));
        gone.forEach(name => views.delete(name));
        const changed = await Promise.all(listed.map(lookAt));
        if (stopLooking !== undefined && (gone.length > 0 || changed.some(Boolean))) {
            listeners.forEach(listener => listener());
        }
    };

    return {
        workers: () => views,
        facts: () =>
            [...views.values()].map(({ id, availabilityZone, rack, capacity }) => ({
                name: id,
                availabilityZone,
                rack,
                capacity,
            })),
        onChange: listener => {
            listeners.push(listener);
        },
        start: () => {
            if (stopLooking === undefined) {
                stopLooking = timer.every(lookMs, look);
                void look();
            }
        },
        stop: () => {
            stopLooking?.();
            stopLooking = undefined;
            views.clear();
        },
    };
};
