import { HandoverReason } from "../execution/candidacy.js";
import type { InheritedLeases } from "../execution/leaseBounds.js";
import { startPlanner } from "../execution/planner.js";
import type { Planner } from "../execution/planner.js";
import { createPlannerElection } from "../execution/plannerElection.js";
import { asLease } from "../execution/plannerLease.js";
import type { WorkerClient, WorkerDescriptor, WorkerDirectory } from "../execution/types.js";
import { longestGrantMs, longestLateGrantMs } from "../execution/workerLease.js";
import { acceptJob } from "../jobs/commands/acceptJob.js";
import type { AcceptResult } from "../jobs/commands/acceptJob.js";
import { cancelStoredJob } from "../jobs/commands/cancelStoredJob.js";
import type { Cancellation, CancelOptions } from "../jobs/commands/cancelStoredJob.js";
import type { CachedPhase } from "../jobs/phaseCache.js";
import type { StoredJob } from "../jobs/projection.js";
import { queryJobPhase } from "../jobs/queries/jobPhase.js";
import type { JobPhaseOptions } from "../jobs/queries/jobPhase.js";
import type { PendingCounts } from "../jobs/queries/pendingJobs.js";
import { readJob } from "../jobs/queries/readJob.js";
import { plannerLeaseKey, plannerPart, plannerTable } from "../jobs/rows.js";
import { createSentSubmissions } from "../jobs/sentSubmissions.js";
import type { SentSubmissions } from "../jobs/sentSubmissions.js";
import { createSubmissionAdmission } from "../jobs/submissionAdmission.js";
import type { JobPhase, JobSubmission } from "../jobs/types.js";
import type { OperatorSource } from "../queues/types.js";
import { createTableFollower } from "../state/follower.js";
import type { TableFollower, TableFollowerOptions } from "../state/follower.js";
import type { TablePart } from "../state/reachability.js";
import type { StateRow, StateTable } from "../state/types.js";
import { createEventLoopDelayMonitor } from "../utils/eventLoopDelay.js";
import type { Random } from "../utils/random.js";
import type { TimerService } from "../utils/timer.js";
import type { EntryMetrics } from "./entryMetrics.js";
import type { Log } from "./logs.js";
import { createPhaseKnowledge } from "./phaseKnowledge.js";
import type { AskForPhase } from "./phasePeer.js";

/** Options of {@link startEntryVm}. */
export interface EntryVmOptions {
    vm: string;
    state: StateTable;
    /** Whether a part of a table is known not to be reachable directly. @default none is */
    isUnreachable?: (part: TablePart) => boolean;
    timer: TimerService;
    log: Log;
    operator: OperatorSource;
    directory: WorkerDirectory;
    createClient: (descriptor: WorkerDescriptor) => WorkerClient;
    /** Longest lease that workers grant. */
    maxLeaseMs: number;
    /** Time for which the rows of an ended job are retained. */
    retainMs: number;
    /** Asks another VM for what it knows of a job's phase. @default none knows any */
    askForPhase?: AskForPhase;
    /** Processing power of this VM relative to the strongest VM, 0 to 1. */
    relativePower: () => number;
    /** Mean event loop delay of this process in milliseconds. @default measured */
    eventLoopDelayMs?: () => number;
    /** Source of the jitter that keeps several VMs from acting at the same moment. @default Math.random */
    random?: Random;
    metrics: EntryMetrics;
    /** Submissions that this VM sent, also for other VMs. @default empty */
    sentSubmissions?: SentSubmissions;
}

/** One entry VM: accepts and cancels jobs, answers queries about them and plans while it holds the planner's term. */
export interface EntryVm {
    /** Stores a submission; `deadlineMs` is the time that the caller waits, from now. */
    accept(submission: JobSubmission, deadlineMs: number): Promise<AcceptResult>;
    /** Cancels a job. */
    cancel(jobId: string, options?: CancelOptions): Promise<Cancellation>;
    /** Phase of a job; `undefined` when there is no such job. */
    phase(jobId: string, options?: JobPhaseOptions): Promise<JobPhase | "unavailable" | undefined>;
    /**
     * What this VM can tell other VMs of a job's phase without the table: how the job ended, as far as it remembers it,
     * and of the other jobs what it has recorded as the planner.
     */
    knownPhase(jobId: string): CachedPhase | undefined;
    /** Stored rows of a job; `undefined` when there is no such job. */
    job(jobId: string): Promise<StoredJob | "unavailable" | undefined>;
    /** Number of jobs that wait in a queue, as last counted by the planner. */
    pending(queue: string): number;
    /** Time since the local copy of the planner table was last confirmed. */
    plannerAgeMs(): number;
    isPlanner(): boolean;
    /** Returns the state of this VM and its planner as JSON, for operators. */
    dump(): unknown;
    /** Releases the planner's term and stops planning for good; requests are still answered. */
    stepDown(): Promise<void>;
    stop(): void;
}

/**
 * Longest time that a request for changes of the planner table waits for one. Without changes the local copy gets as
 * old as two waits and a pause; that must stay below the age up to which the election attempts a takeover.
 */
const waitMs = 500;
/** Pause between two requests for changes: the lease changes twice a second, and the counts in it may be 2 s old. */
const pauseMs = 300;
/** Processing power relative to the strongest VM below which the term is handed over to a stronger VM. */
const minPlannerPower = 0.7;
/** Mean event loop delay above which this VM is too slow to plan: leases are renewed and orders sent every second. */
const maxEventLoopDelayMs = 150;

/** Time after which the event loop delay shows how planning goes, and no longer the burst of work of a takeover. */
const minPlanningMs = 3_000;

const followPlannerTable = (
    context: Pick<TableFollowerOptions, "state" | "timer" | "log">,
    onRow: (row: StateRow) => void,
): TableFollower =>
    createTableFollower({
        ...context,
        table: plannerTable,
        parts: [plannerPart],
        waitMs: () => waitMs,
        pauseMs: () => pauseMs,
        onRows: rows => rows.forEach(onRow),
    });

/** Starts an entry VM and its part in the election of the planner. */
export const startEntryVm = (options: EntryVmOptions): EntryVm => {
    const { timer, log, operator, directory, metrics, random = Math.random, isUnreachable = () => false } = options;
    const admission = createSubmissionAdmission({ state: options.state, timer, log, metrics, random });
    const state = admission.table;
    const context = { state, timer, log };
    const sentSubmissions = options.sentSubmissions ?? createSentSubmissions(timer, options.retainMs);
    const eventLoopDelay = createEventLoopDelayMonitor(timer);
    const eventLoopDelayMs = options.eventLoopDelayMs ?? eventLoopDelay.meanMs;
    const phases = createPhaseKnowledge({
        vm: options.vm,
        timer,
        retainMs: options.retainMs,
        askForPhase: options.askForPhase ?? (async () => undefined),
        isPlanning: () => planningMs() > 0 && election.mayOrder(),
    });
    let publishedPending: PendingCounts = {};
    let planner: Planner | undefined;
    let hasSteppedDown = false;

    const planningMs = (): number => planner?.planningMs() ?? 0;

    const onRow = (row: StateRow): void => {
        if (row.part === plannerPart && row.key === plannerLeaseKey) {
            election.observe(row);
            const lease = asLease(row);
            publishedPending = lease?.pending ?? publishedPending;
            phases.observePlanner(lease?.lastPlanner ?? lease?.holder ?? "");
        }
    };

    const handoverReason = (): HandoverReason | undefined => {
        // first, as it also holds while no VM may hand the term over as overloaded
        if (options.relativePower() < minPlannerPower) {
            return HandoverReason.StrongerVm;
        }
        return planningMs() > minPlanningMs && eventLoopDelayMs() > maxEventLoopDelayMs
            ? HandoverReason.Overloaded
            : undefined;
    };

    const onGained = (term: number, inheritedLeases: InheritedLeases): void => {
        metrics.recordTermChange("gained");
        directory.start();
        planner = startPlanner({
            state,
            timer,
            log,
            metrics,
            term,
            operator: operator.current,
            workers: directory.workers,
            createClient: options.createClient,
            maxLeaseMs: options.maxLeaseMs,
            retainMs: options.retainMs,
            mayOrder: () => election.mayOrder(),
            mayRenew: () => election.mayRenew(),
            inheritedLeases,
            isLeaseWithheld: workerId => election.isLeaseWithheld(workerId),
            publishLeases: election.renewNow,
            onPhaseStored: phases.recordStored,
            onFenced: reason => election.markLost(reason),
        });
    };

    const onLost = (): void => {
        metrics.recordTermChange("lost");
        planner?.stop();
        planner = undefined;
        directory.stop();
    };

    const follower = followPlannerTable(context, onRow);
    const election = createPlannerElection({
        state,
        timer,
        log,
        vm: options.vm,
        followerAgeMs: follower.ageMs,
        isCandidate: () => !hasSteppedDown && operator.current().configuration !== undefined,
        relativePower: options.relativePower,
        handoverReason,
        takeoverMs: () => planner?.takeoverMs() ?? 0,
        hasPlanned: () => planningMs() > 0,
        pendingCounts: () => planner?.pendingCounts(),
        leaseBounds: () => planner?.leaseBounds(),
        onLeasesPublished: () => planner?.onLeasesPublished(),
        longestGrantMs: longestGrantMs(options.maxLeaseMs),
        longestLateGrantMs: longestLateGrantMs(options.maxLeaseMs),
        random,
        onGained,
        onLost,
    });

    directory.onChange(() => planner?.onInputsChanged());
    operator.onChange(() => planner?.onInputsChanged());
    const jobContext = { ...context, ...phases };
    const phaseContext = { ...jobContext, isOutage: admission.isOutage, isUnreachable };

    return {
        accept: (submission, deadlineMs) =>
            acceptJob({ ...jobContext, admission, sentSubmissions }, submission, deadlineMs),
        cancel: (jobId, cancelOptions) => cancelStoredJob(jobContext, jobId, cancelOptions),
        phase: (jobId, phaseOptions) => queryJobPhase(phaseContext, jobId, phaseOptions),
        knownPhase: phases.tell,
        job: jobId => readJob(state, jobId),
        pending: queue => (planner?.pendingCounts() ?? publishedPending)[queue] ?? 0,
        plannerAgeMs: follower.ageMs,
        isPlanner: () => planner !== undefined,
        dump: () => ({
            vm: options.vm,
            configurationVersion: operator.current().configuration?.version,
            configurationAgeMs: operator.ageMs(),
            plannerAgeMs: follower.ageMs(),
            latenessMs: Math.round(eventLoopDelayMs()),
            pending: planner?.pendingCounts() ?? publishedPending,
            submissionGate: admission.dump(),
            term: election.currentTerm(),
            planner: planner?.dump(),
        }),
        stepDown: async () => {
            hasSteppedDown = true;
            await election.release();
        },
        stop: () => {
            eventLoopDelay.stop();
            admission.stop();
            follower.stop();
            election.stop();
            onLost();
        },
    };
};
