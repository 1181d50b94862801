import type { ConfigurationFollower } from "../configuration/follower.js";
import { maxAcceleratorsOf, zonesOutOf } from "../configuration/queries/settings.js";
import type { GangReport, ZoneReport } from "../peers/types.js";
import type { PlatformClient, Vm } from "../platform/types.js";
import { VmState } from "../platform/types.js";
import type { TimerService } from "../utils/timer.js";
import { TaskState } from "../workers/types.js";
import type { WorkerClient } from "../workers/types.js";
import { stopGang } from "./gang.js";
import type { GangTimes } from "./gang.js";
import { createJobExecutor } from "./jobExecutor.js";
import type { JobEvent } from "./jobExecutor.js";
import { hasEnded, readActiveJobs, readJob } from "./jobTable.js";
import type { Leadership } from "./leadership.js";
import { DecisionKind } from "./plan.js";
import type { Decision, PlanRound } from "./plan.js";
import { createPlanningState } from "./planningState.js";
import type { TrackedJob } from "./planningState.js";
import { createRunTimeModel } from "./runTimes.js";
import { JobState } from "./types.js";
import type { Worker } from "./types.js";
import { createWorkerHealth } from "./workerHealth.js";

/** Options of {@link createPlanner}. */
export interface PlannerOptions {
    platform: PlatformClient;
    timer: TimerService;
    follower: ConfigurationFollower;
    leadership: Leadership;
    times: GangTimes;
    clientOf: (httpAddress: string) => WorkerClient;
    /** Latest list of endpoint VMs. */
    listEndpoints: () => Vm[];
    /** Decides; the default policy is `planRound`. */
    plan: PlanRound;
    onEvent: (event: JobEvent) => void;
}

/** What a planner shows of itself. */
export interface PlannerDump {
    planning: boolean;
    workers: { name: string; availabilityZone: string; usable: boolean; freeAccelerators: number; }[];
    queue: { jobId: string; customer: string; waitingMs: number; }[];
    running: { jobId: string; attempt: number; class: string; guaranteeUnit?: string; workers: string[]; }[];
    homes: { unit: string; workers: string[]; }[];
    claims: { jobId: string; workers: string[]; }[];
    unplacedGuarantees: string[];
    ejectedWorkers: string[];
}

/** Decides where jobs run while this process holds the planner's lease. */
export interface Planner {
    /** One step: intake, repair, decide. Does nothing while another process plans. */
    round(): Promise<void>;
    /** Takes in what a zone's keeper saw. */
    reportZone(report: ZoneReport): void;
    dump(): PlannerDump;
}

interface ZoneView {
    report: ZoneReport;
    receivedAtMs: number;
}

/** Key of the row with every worker's place and capacity. */
export const fleetKey = "fleet";

const zoneReportMaxAgeMs = 6_000;
/** After a takeover, time to hear from the keepers before anything is placed or given up. */
const settleMs = 3_000;
/** Time without a report of a placed job's tasks after which they count as gone. */
const missingAfterMs = 4_000;
const maxFailures = 3;

/** Creates the planner of a scheduler. */
export const createPlanner = (options: PlannerOptions): Planner => {
    const { platform, timer, follower, leadership, times } = options;
    const runTimes = createRunTimeModel();
    const zones = new Map<string, ZoneView>();
    const addresses = new Map<string, string>();
    let state = createPlanningState();
    let health = createWorkerHealth();
    let loadedAs: string | undefined;
    let loadedAtMs = 0;
    let appliedVersion = -1;
    let recordedFleet = "";
    let unplacedGuarantees: string[] = [];

    const findWorker = (name: string): WorkerClient | undefined => {
        const address = addresses.get(name);
        return address === undefined ? undefined : options.clientOf(address);
    };

    const createExecutor = () =>
        createJobExecutor({
            state,
            platform,
            timer,
            times,
            findWorker,
            plannerId: leadership.plannerId,
            guards: leadership.guards,
            onEvent: options.onEvent,
        });
    let executor = createExecutor();

    const load = async (): Promise<boolean> => {
        if (loadedAs === leadership.plannerId()) {
            return true;
        }
        const active = await readActiveJobs(platform);
        if (!active.ok) {
            return false;
        }
        state = createPlanningState();
        health = createWorkerHealth();
        executor = createExecutor();
        appliedVersion = -1;
        refreshWorkers();
        applyConfiguration();
        active.value.forEach(stored => state.track(stored));
        applyConfiguration(true);
        loadedAs = leadership.plannerId();
        loadedAtMs = timer.nowMs();
        return true;
    };

    const takeIn = async (): Promise<void> => {
        const inbox = await platform.scan<unknown>("inbox/");
        if (!inbox.ok || inbox.value.length === 0) {
            return;
        }
        const ids = inbox.value.map(row => row.key.slice("inbox/".length));
        const reads = await readAll(ids);
        if (!reads) {
            return;
        }
        await platform.commit({
            conditions: inbox.value.map(row => ({ key: row.key, version: row.version })),
            writes: inbox.value.map(row => ({ key: row.key })),
        });
    };

    const readAll = async (ids: readonly string[]): Promise<boolean> => {
        if (ids.length > maxSingleReads) {
            const active = await readActiveJobs(platform);
            const wanted = new Set(ids);
            const found = active.ok ? active.value : [];
            found.filter(stored => wanted.has(stored.record.spec.id)).forEach(takeInJob);
            return active.ok;
        }
        const reads = await Promise.all(ids.map(id => readJob(platform, id)));
        reads.forEach(read => {
            if (read.ok && read.value !== undefined && !hasEnded(read.value.record.state)) {
                takeInJob(read.value);
            }
        });
        return reads.every(read => read.ok);
    };

    const takeInJob: (stored: TrackedJob["stored"]) => void = stored => {
        const known = state.jobs.get(stored.record.spec.id);
        if (known === undefined || (!known.busy && known.stored.rowVersion < stored.rowVersion)) {
            state.track(stored);
        }
        else if (known.busy && stored.record.cancelRequested) {
            // the change under way will conflict with the caller's and read the row again
            known.stored = { ...known.stored, record: { ...known.stored.record, cancelRequested: true } };
        }
    };

    const isZoneFresh = (view: ZoneView): boolean => timer.nowMs() - view.receivedAtMs < zoneReportMaxAgeMs;

    const leavingVms = (): Set<string> =>
        new Set(options.listEndpoints().filter(vm => vm.state === VmState.Leaving).map(vm => vm.name));

    const refreshWorkers = (): void => {
        const zonesOut = zonesOutOf(follower.current());
        const leaving = leavingVms();
        const workers: Worker[] = [];
        for (const view of zones.values()) {
            const unreachable = new Set(view.report.unreachable);
            for (const worker of view.report.workers) {
                addresses.set(worker.name, worker.httpAddress);
            }
            const known = [...state.ledger().fleet.workers.values()]
                .filter(worker =>
                    worker.availabilityZone === view.report.availabilityZone && unreachable.has(worker.name)
                );
            for (const worker of [...view.report.workers, ...known]) {
                workers.push({
                    name: worker.name,
                    availabilityZone: worker.availabilityZone,
                    rack: worker.rack,
                    capacity: worker.capacity,
                    usable: isZoneFresh(view)
                        && !unreachable.has(worker.name)
                        && !leaving.has(worker.name)
                        && !zonesOut.has(worker.availabilityZone)
                        && !health.isEjected(worker.name)
                        && view.report.workers.some(other => other.name === worker.name && other.usable),
                });
            }
        }
        workers.sort((left, right) => left.name < right.name ? -1 : 1);
        state.setWorkers(workers);
    };

    const applyConfiguration = (force = false): void => {
        const snapshot = follower.current();
        const broken = [...state.ledger().homes.values()].some(home =>
            home.members.length === 0
            || home.members.some(member => state.ledger().fleet.workers.get(member.worker)?.usable !== true)
        );
        if (force || broken || snapshot.version !== appliedVersion) {
            unplacedGuarantees = state.applyGuarantees(snapshot);
            appliedVersion = snapshot.version;
        }
    };

    const cancelRequested = (): void => {
        for (const tracked of [...state.jobs.values()]) {
            if (tracked.stored.record.cancelRequested && !tracked.busy) {
                void executor.end(tracked, JobState.Cancelled, "cancelled by its submitter");
            }
        }
    };

    const isOnLeavingWorker = (tracked: TrackedJob): boolean => {
        const zonesOut = zonesOutOf(follower.current());
        const leaving = leavingVms();
        return (tracked.stored.record.placement?.members ?? []).some(member => {
            const worker = state.ledger().fleet.workers.get(member.worker);
            return worker !== undefined && (zonesOut.has(worker.availabilityZone) || leaving.has(worker.name));
        });
    };

    const evictFromLeavingWorkers = (): void => {
        for (const tracked of [...state.jobs.values()]) {
            const { record } = tracked.stored;
            const movable = record.state === JobState.Placed && record.spec.checkpointable && !tracked.busy;
            if (movable && isOnLeavingWorker(tracked)) {
                void executor.evict(tracked, "its workers are leaving");
            }
        }
    };

    const requeueMissing = (): void => {
        const nowMs = timer.wallClockMs();
        for (const tracked of [...state.jobs.values()]) {
            const { record } = tracked.stored;
            if (record.state !== JobState.Placed || tracked.busy || record.placement === undefined) {
                continue;
            }
            if (isReported(tracked)) {
                tracked.missingSinceMs = undefined;
                continue;
            }
            tracked.missingSinceMs ??= nowMs;
            if (nowMs - tracked.missingSinceMs >= missingAfterMs) {
                void executor.requeue(tracked, "its tasks are gone");
            }
        }
    };

    /** A zone that does not report leaves its jobs as they are until they would have lapsed. */
    const isReported = (tracked: TrackedJob): boolean => {
        const { placement, spec } = tracked.stored.record;
        const view = placement === undefined ? undefined : zones.get(placement.availabilityZone);
        if (view === undefined || !isZoneFresh(view)) {
            return true;
        }
        const present = view.report.gangs.some(gang => gang.jobId === spec.id && gang.attempt === placement?.attempt);
        return present || !placement?.members.every(member => isAnsweringOrRemoved(member.worker, view));
    };

    /** Only a worker that answers, or that the platform no longer lists, is known not to run a task. */
    const isAnsweringOrRemoved = (worker: string, view: ZoneView): boolean =>
        (view.report.workers.some(known => known.name === worker) && !view.report.unreachable.includes(worker))
        || !options.listEndpoints().some(vm => vm.name === worker);

    const carryOut = (decision: Decision): void => {
        const tracked = state.jobs.get(decision.job.spec.id);
        if (tracked === undefined) {
            return;
        }
        switch (decision.kind) {
            case DecisionKind.Place:
                void executor.place(tracked, {
                    attempt: decision.job.attempts + 1,
                    members: decision.members,
                    availabilityZone: zoneOf(decision.members[0].worker),
                    class: decision.class,
                    guaranteeUnit: decision.guaranteeUnit,
                    home: decision.guaranteeUnit === undefined
                        ? undefined
                        : state.ledger().homes.get(decision.guaranteeUnit)?.members,
                    configurationVersion: follower.current().version,
                });
                return;
            case DecisionKind.Reclaim:
                decision.victims.forEach(victim => {
                    const evicted = state.jobs.get(victim.job.id);
                    if (evicted !== undefined) {
                        void executor.evict(evicted, `makes room for ${decision.job.spec.id}`);
                    }
                });
                return;
            case DecisionKind.Reject:
                void executor.end(tracked, JobState.Rejected, decision.reason);
        }
    };

    const zoneOf = (worker: string): string => state.ledger().fleet.workers.get(worker)?.availabilityZone ?? "";

    /** Publishing checks guarantees against the workers recorded here. */
    const recordFleet = async (): Promise<void> => {
        const facts = [...state.ledger().fleet.workers.values()].map(({ name, availabilityZone, rack, capacity }) => ({
            name,
            availabilityZone,
            rack,
            capacity,
        }));
        const text = JSON.stringify(facts);
        if (facts.length === 0 || text === recordedFleet) {
            return;
        }
        const written = await platform.commit({ conditions: [], writes: [{ key: fleetKey, value: facts }] });
        if (written.ok) {
            recordedFleet = text;
        }
    };

    const decide = (): void => {
        const decisions = options.plan({
            ledger: state.ledger(),
            queue: state.queue(),
            runTimes,
            nowMs: timer.wallClockMs(),
            maxAcceleratorsOf: customer => maxAcceleratorsOf(follower.current(), customer),
        });
        decisions.forEach(carryOut);
    };

    const isSettled = (): boolean => timer.nowMs() - loadedAtMs >= settleMs || allZonesReported();

    const allZonesReported = (): boolean => {
        const expected = new Set(options.listEndpoints().map(vm => vm.availabilityZone));
        return expected.size > 0 && [...expected].every(zone => {
            const view = zones.get(zone);
            return view !== undefined && view.receivedAtMs >= loadedAtMs;
        });
    };

    let running = false;
    let wanted = false;

    /** Rounds never overlap; one asked for meanwhile follows at once. */
    const round = async (): Promise<void> => {
        wanted = true;
        while (wanted && !running) {
            wanted = false;
            running = true;
            await roundOnce().finally(() => {
                running = false;
            });
        }
    };

    const roundOnce = async (): Promise<void> => {
        if (!leadership.isPlanner()) {
            loadedAs = undefined;
            return;
        }
        if (!await load()) {
            return;
        }
        await takeIn();
        refreshWorkers();
        applyConfiguration();
        void recordFleet();
        if (!isSettled() || follower.rowVersion() === 0) {
            return;
        }
        cancelRequested();
        evictFromLeavingWorkers();
        requeueMissing();
        decide();
    };

    const finishGang = (tracked: TrackedJob, gang: GangReport): void => {
        const { spec } = tracked.stored.record;
        if (gang.state === TaskState.Finished) {
            runTimes.observe(spec, gang.progressMs);
            health.recordSuccess(gang.workers);
            void executor.end(tracked, JobState.Done, "finished");
            return;
        }
        health.recordFailure(spec.id, gang.workers);
        const failures = tracked.stored.record.failures + 1;
        if (failures < maxFailures) {
            void executor.requeue(tracked, "its tasks failed", { failures });
            return;
        }
        health.clearBlame(spec.id);
        void executor.end(tracked, JobState.Failed, `its tasks failed in ${failures} places`);
    };

    const takeInGang = (gang: GangReport): void => {
        const tracked = state.jobs.get(gang.jobId);
        const placement = tracked?.stored.record.placement;
        if (tracked === undefined || (placement?.attempt ?? 0) > gang.attempt) {
            void stopOrphan(gang);
            return;
        }
        if (tracked.busy || placement?.attempt !== gang.attempt) {
            return;
        }
        if (gang.broken) {
            void executor.requeue(tracked, "a member was lost", { progressMs: gang.checkpointedMs });
        }
        else if (gang.state === TaskState.Finished || gang.state === TaskState.Failed) {
            finishGang(tracked, gang);
        }
    };

    /** Stops tasks of jobs that have ended or moved on, after a look at the table. */
    const stopOrphan = async (gang: GangReport): Promise<void> => {
        const read = await readJob(platform, gang.jobId);
        const current = read.ok ? read.value?.record : undefined;
        const orphaned = read.ok
            && (current === undefined || hasEnded(current.state) || (current.placement?.attempt ?? 0) > gang.attempt);
        if (orphaned) {
            await stopGang(gang, gang.workers.map(worker => ({ worker, taskCount: 0 })), findWorker);
        }
    };

    const reportZone = (report: ZoneReport): void => {
        zones.set(report.availabilityZone, { report, receivedAtMs: timer.nowMs() });
        if (leadership.isPlanner() && loadedAs === leadership.plannerId()) {
            report.gangs.forEach(takeInGang);
        }
    };

    const dump = (): PlannerDump => {
        const ledger = state.ledger();
        return {
            planning: leadership.isPlanner(),
            workers: [...ledger.fleet.workers.values()].map(worker => ({
                name: worker.name,
                availabilityZone: worker.availabilityZone,
                usable: worker.usable,
                freeAccelerators: ledger.free(worker).accelerators,
            })),
            queue: state.queue().map(job => ({
                jobId: job.spec.id,
                customer: job.spec.customer,
                waitingMs: timer.wallClockMs() - job.spec.submittedAtMs,
            })),
            running: [...ledger.allocations.values()].map(allocation => ({
                jobId: allocation.job.id,
                attempt: allocation.attempt,
                class: allocation.class,
                guaranteeUnit: allocation.guaranteeUnit,
                workers: allocation.members.map(member => member.worker),
            })),
            homes: [...ledger.homes.values()].map(home => ({
                unit: home.unit,
                workers: home.members.map(member => member.worker),
            })),
            claims: [...ledger.claims.values()].map(claim => ({
                jobId: claim.jobId,
                workers: claim.members.map(member => member.worker),
            })),
            unplacedGuarantees,
            ejectedWorkers: health.ejected(),
        };
    };

    return { round, reportZone, dump };
};

/** Inbox entries up to which rows are read one by one. */
const maxSingleReads = 20;
