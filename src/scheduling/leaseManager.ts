import type { GangReport, ZoneReport } from "../peers/types.js";
import type { TimerService } from "../utils/timer.js";
import { TaskState } from "../workers/types.js";
import type { RenewRequest, TaskReport, WorkerClient, WorkerReport } from "../workers/types.js";

/** A worker that a lease manager looks after. */
export interface ManagedWorker {
    name: string;
    httpAddress: string;
}

/** Options of {@link createLeaseManager}. */
export interface LeaseManagerOptions {
    vm: string;
    availabilityZone: string;
    timer: TimerService;
    /** Workers of the availability zone, as last listed. */
    listWorkers: () => ManagedWorker[];
    clientOf: (httpAddress: string) => WorkerClient;
    /** Tasks stop this long after their last renewal. */
    leaseMs: number;
}

/** Keeps the gangs of one availability zone alive, whole or not at all. */
export interface LeaseManager {
    /** Renews every whole gang, stops what is left of broken ones and reports. */
    round(): Promise<ZoneReport>;
    /** Gangs as seen in the latest round. */
    gangs(): GangReport[];
}

interface WorkerView {
    worker: ManagedWorker;
    report?: WorkerReport;
    tasks: TaskReport[];
    leaving: boolean;
    missedRounds: number;
}

interface GangView {
    jobId: string;
    attempt: number;
    parts: { worker: string; task: TaskReport; }[];
    members: string[];
}

/** Rounds without an answer after which a worker's tasks count as lost. */
const maxMissedRounds = 2;
/** Time that a gang may take from its first to its last start. */
const startGraceMs = 3_000;

/** Time for which a broken gang is reported after it was stopped. */
const reportBrokenMs = 15_000;

const stateOrder = [TaskState.Held, TaskState.Ready, TaskState.Running, TaskState.Finished];

const combineStates = (states: readonly TaskState[]): TaskState =>
    states.includes(TaskState.Failed)
        ? TaskState.Failed
        : states.reduce((least, state) => stateOrder.indexOf(state) < stateOrder.indexOf(least) ? state : least);

const gangId = (gang: { jobId: string; attempt: number; }): string => `${gang.jobId}#${gang.attempt}`;

const collectGangs = (views: readonly WorkerView[]): GangView[] => {
    const gangs = new Map<string, GangView>();
    for (const view of views) {
        for (const task of view.tasks.filter(candidate => candidate.state !== TaskState.Held)) {
            const gang = gangs.get(gangId(task))
                ?? {
                    jobId: task.jobId,
                    attempt: task.attempt,
                    parts: [],
                    members: task.members.map(member => member.worker),
                };
            gang.parts.push({ worker: view.worker.name, task });
            gangs.set(gangId(task), gang);
        }
    }
    return [...gangs.values()];
};

const toReport = (gang: GangView, broken: boolean): GangReport => {
    const tasks = gang.parts.map(part => part.task);
    return {
        jobId: gang.jobId,
        attempt: gang.attempt,
        state: combineStates(tasks.map(task => task.state)),
        broken,
        checkpointedMs: Math.min(...tasks.map(task => task.checkpointedMs)),
        progressMs: Math.min(...tasks.map(task => task.progressMs)),
        workers: gang.parts.map(part => part.worker),
    };
};

/** Creates the lease manager of an availability zone; several lease managers of one zone do no harm. */
export const createLeaseManager = (options: LeaseManagerOptions): LeaseManager => {
    const { timer, leaseMs } = options;
    const views = new Map<string, WorkerView>();
    const incompleteSinceMs = new Map<string, number>();
    const brokenLately = new Map<string, { report: GangReport; untilMs: number; }>();
    let latest: GangReport[] = [];

    const syncWorkers = (): void => {
        const listed = new Map(options.listWorkers().map(worker => [worker.name, worker]));
        for (const name of [...views.keys()].filter(known => !listed.has(known))) {
            views.delete(name);
        }
        for (const worker of listed.values()) {
            if (views.get(worker.name)?.worker.httpAddress !== worker.httpAddress) {
                views.set(worker.name, { worker, tasks: [], leaving: false, missedRounds: 0 });
            }
        }
    };

    const isLost = (name: string): boolean => (views.get(name)?.missedRounds ?? maxMissedRounds) >= maxMissedRounds;

    const isIncomplete = (gang: GangView): boolean => {
        const present = new Set(gang.parts.map(part => part.worker));
        return gang.members.some(member => !present.has(member) || isLost(member));
    };

    /** A gang whose members are still being started gets some time. */
    const isBroken = (gang: GangView): boolean => {
        if (!isIncomplete(gang)) {
            incompleteSinceMs.delete(gangId(gang));
            return false;
        }
        const sinceMs = incompleteSinceMs.get(gangId(gang)) ?? timer.nowMs();
        incompleteSinceMs.set(gangId(gang), sinceMs);
        const starting = gang.parts.every(part => part.task.state === TaskState.Ready) && !gang.members.some(isLost);
        return !starting || timer.nowMs() - sinceMs >= startGraceMs;
    };

    const refresh = async (view: WorkerView, gangs: readonly GangView[]): Promise<void> => {
        const client = options.clientOf(view.worker.httpAddress);
        if (view.report === undefined) {
            const report = await client.report();
            view.report = report.ok ? report.value : undefined;
        }
        const own: RenewRequest[] = gangs
            .filter(gang => gang.members.includes(view.worker.name))
            .map(gang => ({ jobId: gang.jobId, attempt: gang.attempt, release: true }));
        const renewed = await client.renew(own, leaseMs);
        if (renewed.ok) {
            view.tasks = renewed.value.tasks;
            view.leaving = renewed.value.leaving;
            view.missedRounds = 0;
        }
        else {
            view.missedRounds += 1;
        }
    };

    const stopRest = async (gang: GangView): Promise<void> => {
        const stops = gang.parts.map(part => {
            const view = views.get(part.worker);
            return view === undefined
                ? Promise.resolve(undefined)
                : options.clientOf(view.worker.httpAddress).stop([{ jobId: gang.jobId, attempt: gang.attempt }]);
        });
        await Promise.all(stops);
    };

    const refreshAll = async (gangs: readonly GangView[]): Promise<void> => {
        await Promise.all([...views.values()].map(view => refresh(view, gangs)));
    };

    const toZoneReport = (): ZoneReport => {
        const known = [...views.values()];
        const answering = known.filter(view => view.report !== undefined && view.missedRounds === 0);
        return {
            availabilityZone: options.availabilityZone,
            leaseManager: options.vm,
            workers: answering.flatMap(view =>
                view.report === undefined ? [] : [{
                    name: view.report.name,
                    availabilityZone: view.report.availabilityZone,
                    rack: view.report.rack,
                    capacity: view.report.capacity,
                    usable: !view.leaving,
                    httpAddress: view.worker.httpAddress,
                }]
            ),
            unreachable: known.filter(view => view.missedRounds > 0).map(view => view.worker.name),
            gangs: latest,
        };
    };

    const isWhole = (gang: GangView): boolean =>
        !isIncomplete(gang) && gang.parts.every(part => part.task.state !== TaskState.Held);

    /** Broken gangs are reported for a while, in case the planner changes meanwhile. */
    const stillBroken = (): GangReport[] => {
        for (const [id, entry] of brokenLately) {
            if (entry.untilMs <= timer.nowMs()) {
                brokenLately.delete(id);
                incompleteSinceMs.delete(id);
            }
        }
        return [...brokenLately.values()].map(entry => entry.report);
    };

    const round = async (): Promise<ZoneReport> => {
        syncWorkers();
        await refreshAll(collectGangs([...views.values()]).filter(isWhole));
        const gangs = collectGangs([...views.values()]);
        const broken = gangs.filter(isBroken);
        await Promise.all(broken.map(stopRest));
        broken.forEach(gang => {
            brokenLately.set(gangId(gang), { report: toReport(gang, true), untilMs: timer.nowMs() + reportBrokenMs });
        });
        latest = [...gangs.filter(gang => !broken.includes(gang)).map(gang => toReport(gang, false)), ...stillBroken()];
        return toZoneReport();
    };

    return { round, gangs: () => latest };
};
