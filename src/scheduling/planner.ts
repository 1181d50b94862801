import type { ConfigurationFollower } from "../configuration/follower.js";
import { maxAcceleratorsOf } from "../configuration/queries/settings.js";
import type { ZoneReport } from "../peers/types.js";
import type { PlatformClient, Vm } from "../platform/types.js";
import type { TimerService } from "../utils/timer.js";
import type { WorkerClient } from "../workers/types.js";
import type { GangTimes } from "./gang.js";
import { takeInbox } from "./inbox.js";
import { createJobExecutor } from "./jobExecutor.js";
import type { JobEvent } from "./jobExecutor.js";
import { readActiveJobs } from "./jobTable.js";
import type { StoredJob } from "./jobTable.js";
import type { Leadership } from "./leadership.js";
import { DecisionKind } from "./plan.js";
import type { Decision, PlanRound } from "./plan.js";
import { cancelRequested, evictFromLeavingWorkers, requeueMissing, takeInGang, takeInJob } from "./plannerTerm.js";
import type { PlannerTerm } from "./plannerTerm.js";
import { createPlanningState } from "./planningState.js";
import { dumpPlanner } from "./queries/dumpPlanner.js";
import type { PlannerDump } from "./queries/dumpPlanner.js";
import { createRunTimeModel } from "./runTimes.js";
import { JobState } from "./types.js";
import { createWorkerHealth } from "./workerHealth.js";
import { createZoneViews } from "./zoneViews.js";

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
    /** Decides what is placed where. */
    plan: PlanRound;
    /** Called with what happened to jobs, for logs and metrics. */
    onEvent: (event: JobEvent) => void;
}

/** Decides where jobs run while this process holds the planner's lease. */
export interface Planner {
    /** One step: take in, repair, decide. Does nothing while another process plans. */
    round(): Promise<void>;
    /** Looks into the inbox at once. */
    noticeInbox(): void;
    /** Takes in what a zone's lease manager saw. */
    reportZone(report: ZoneReport): void;
    /** What this process plans; `undefined` while another one does. */
    dump(): PlannerDump | undefined;
    /** Guaranteed units that fit nowhere at present. */
    unplacedGuarantees(): string[];
}

interface LoadedTerm {
    term: PlannerTerm;
    plannerId: string;
    loadedAtMs: number;
    appliedVersion: number;
    recordedFleet: string;
    unplacedGuarantees: string[];
    /** What the latest planning round worked on, and when. */
    plannedInput: string;
    plannedAtMs: number;
}

/** Key of the row with every worker's place and capacity. */
export const fleetKey = "fleet";

/** After a takeover, time to hear from the lease managers before anything is placed or given up. */
const settleMs = 3_000;
/** Time after which a round plans though nothing has changed, since waiting raises ranks. */
const idlePlanMs = 5_000;
/** Time between two looks into the inbox that nobody asked for. */
const inboxPeriodMs = 1_000;

const hasBrokenCell = (term: PlannerTerm): boolean => {
    const ledger = term.state.ledger();
    return [...ledger.cells.values()].some(cell =>
        cell.members.length === 0
        || cell.members.some(member => ledger.fleet.workers.get(member.worker)?.usable !== true)
    );
};

const refreshWorkers = (term: PlannerTerm): void =>
    term.state.setWorkers(
        term.views.workers(
            term.follower.current(),
            worker => term.health.isEjected(worker, term.timer.wallClockMs()),
        ),
    );

const applyConfiguration = (loaded: LoadedTerm, force: boolean): void => {
    const { term } = loaded;
    const snapshot = term.follower.current();
    if (force || snapshot.version !== loaded.appliedVersion || hasBrokenCell(term)) {
        loaded.unplacedGuarantees = term.state.applyGuarantees(snapshot);
        loaded.appliedVersion = snapshot.version;
    }
};

/** Everything that a planning round depends on, other than time. */
const describeInput = (term: PlannerTerm): string => {
    const { allocations, fleet } = term.state.ledger();
    const nowMs = term.timer.wallClockMs();
    const queue = term.state.queue().map(job => `${job.spec.id}#${job.attempts}${job.notBeforeMs > nowMs ? "-" : "+"}`);
    const running = [...allocations.values()].map(each => `${each.job.id}#${each.attempt}${each.leaving ? "-" : "+"}`);
    const usable = [...fleet.workers.values()].filter(worker => worker.usable).map(worker => worker.name);
    return [queue, running, usable, term.follower.current().version].join("|");
};

/** Records the workers in the table, for the checks of publishing. */
const recordFleet = async (loaded: LoadedTerm): Promise<void> => {
    const { term } = loaded;
    const facts = [...term.state.ledger().fleet.workers.values()].map(({ name, availabilityZone, rack, capacity }) => ({
        name,
        availabilityZone,
        rack,
        capacity,
    }));
    const text = JSON.stringify(facts);
    if (facts.length === 0 || text === loaded.recordedFleet) {
        return;
    }
    const written = await term.platform.commit({ conditions: [], writes: [{ key: fleetKey, value: facts }] });
    if (written.ok) {
        loaded.recordedFleet = text;
    }
};

const carryOutPlacement = (term: PlannerTerm, decision: Decision & { kind: DecisionKind.Place; }): void => {
    const tracked = term.state.jobs.get(decision.job.spec.id);
    const ledger = term.state.ledger();
    const { members, guaranteeUnit } = decision;
    if (tracked !== undefined) {
        void term.executor.place(tracked, {
            attempt: decision.job.attempts + 1,
            members,
            availabilityZone: ledger.fleet.workers.get(members[0].worker)?.availabilityZone ?? "",
            class: decision.class,
            guaranteeUnit,
            cell: guaranteeUnit === undefined ? undefined : ledger.cells.get(guaranteeUnit)?.members,
            configurationVersion: term.follower.current().version,
        });
    }
};

const carryOut = (term: PlannerTerm, decision: Decision): void => {
    const { id } = decision.job.spec;
    const tracked = term.state.jobs.get(id);
    switch (decision.kind) {
        case DecisionKind.Place:
            return carryOutPlacement(term, decision);
        case DecisionKind.Reclaim:
            for (const victim of decision.victims) {
                const evicted = term.state.jobs.get(victim.job.id);
                if (evicted !== undefined) {
                    void term.executor.evict(evicted, `makes room for ${id}`, decision.mandatory);
                }
            }
            return;
        case DecisionKind.Reject:
            if (tracked !== undefined) {
                void term.executor.end(tracked, JobState.Rejected, decision.reason);
            }
    }
};

/** Creates the planner of a scheduler. */
export const createPlanner = (options: PlannerOptions): Planner => {
    const { platform, timer, follower, leadership } = options;
    const views = createZoneViews(timer, options.listEndpoints);
    const runTimes = createRunTimeModel();
    let loaded: LoadedTerm | undefined;
    let nextInboxAtMs = 0;

    const findWorker = (name: string): WorkerClient | undefined => {
        const address = views.addressOf(name);
        return address === undefined ? undefined : options.clientOf(address);
    };

    const createTerm = (active: readonly StoredJob[]): LoadedTerm => {
        const state = createPlanningState();
        const { plannerId, guards } = leadership;
        const executor = createJobExecutor({ ...options, state, findWorker, plannerId, guards });
        const health = createWorkerHealth();
        const term = { platform, timer, follower, state, executor, health, runTimes, views, findWorker };
        const created = {
            term,
            plannerId: plannerId(),
            loadedAtMs: timer.nowMs(),
            appliedVersion: -1,
            recordedFleet: "",
            unplacedGuarantees: [],
            plannedInput: "",
            plannedAtMs: 0,
        };
        refreshWorkers(term);
        applyConfiguration(created, true);
        active.forEach(stored => state.track(stored));
        applyConfiguration(created, true);
        return created;
    };

    const load = async (): Promise<LoadedTerm | undefined> => {
        if (loaded?.plannerId === leadership.plannerId()) {
            return loaded;
        }
        const active = await readActiveJobs(platform);
        loaded = active.ok ? createTerm(active.value) : undefined;
        return loaded;
    };

    /** Unless something has changed, a round would decide the same as the last one. */
    const isWorthPlanning = (current: LoadedTerm): boolean => {
        const input = describeInput(current.term);
        if (input === current.plannedInput && timer.nowMs() - current.plannedAtMs < idlePlanMs) {
            return false;
        }
        current.plannedInput = input;
        current.plannedAtMs = timer.nowMs();
        return true;
    };

    const decide = (current: LoadedTerm): void => {
        const { term } = current;
        term.state.noteFailedEvictions();
        if (!isWorthPlanning(current)) {
            return;
        }
        const decisions = options.plan({
            ledger: term.state.ledger(),
            queue: term.state.queue(),
            runTimes,
            nowMs: timer.wallClockMs(),
            maxAcceleratorsOf: customer => maxAcceleratorsOf(follower.current(), customer),
        });
        decisions.forEach(decision => carryOut(term, decision));
    };

    const isSettled = (current: LoadedTerm): boolean =>
        timer.nowMs() - current.loadedAtMs >= settleMs || views.haveAllReportedSince(current.loadedAtMs);

    /** Submitters say when there is something new; a look now and then finds what they could not say. */
    const lookIntoInbox = async (term: PlannerTerm): Promise<void> => {
        if (timer.nowMs() < nextInboxAtMs) {
            return;
        }
        nextInboxAtMs = timer.nowMs() + inboxPeriodMs;
        await takeInbox(platform, leadership.epochGuard(), stored => takeInJob(term, stored));
    };

    const noticeInbox = (): void => {
        nextInboxAtMs = 0;
        void round();
    };

    const runRound = async (): Promise<void> => {
        if (!leadership.isPlanner()) {
            loaded = undefined;
            return;
        }
        const current = await load();
        if (current === undefined) {
            return;
        }
        const { term } = current;
        await lookIntoInbox(term);
        refreshWorkers(term);
        applyConfiguration(current, false);
        void recordFleet(current);
        if (!isSettled(current) || follower.rowVersion() === 0) {
            return;
        }
        cancelRequested(term);
        evictFromLeavingWorkers(term);
        requeueMissing(term);
        decide(current);
    };

    let running = false;
    let wanted = false;

    /** Rounds never overlap; one asked for meanwhile follows at once. */
    const round = async (): Promise<void> => {
        wanted = true;
        while (wanted && !running) {
            wanted = false;
            running = true;
            await runRound().finally(() => {
                running = false;
            });
        }
    };

    const reportZone = (report: ZoneReport): void => {
        views.accept(report);
        if (loaded !== undefined && leadership.isPlanner() && loaded.plannerId === leadership.plannerId()) {
            const { term } = loaded;
            report.gangs.forEach(gang => takeInGang(term, gang));
        }
    };

    return {
        round,
        noticeInbox,
        reportZone,
        dump: () => loaded === undefined ? undefined : dumpPlanner(loaded.term),
        unplacedGuarantees: () => loaded?.unplacedGuarantees ?? [],
    };
};
