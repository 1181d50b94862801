import type { Result } from "../utils/result.js";
import { fail, succeed } from "../utils/result.js";
import type { TimerService } from "../utils/timer.js";
import type { GangKey, TaskReport, WorkerClient, WorkerError } from "../workers/types.js";
import { resourcesPerTask } from "./resources.js";
import type { JobSpec, Member } from "./types.js";

/** Times that rule a gang's life on its workers. */
export interface GangTimes {
    /** Holds expire after this time, so that nothing starts long after it was decided. */
    holdMs: number;
    /** Tasks stop this long after their last renewal. */
    leaseMs: number;
    /** Time that a checkpoint may take before the tasks are stopped without it. */
    checkpointGraceMs: number;
}

/** Finds the client of a worker by the worker's name. */
export type FindWorker = (worker: string) => WorkerClient | undefined;

/** Why a gang could not be placed on its workers; nothing of it runs. */
export type GangError =
    | { kind: "holdRefused"; worker: string; detail: string; }
    /** The decision was not recorded. */
    | { kind: "notDecided"; detail: string; }
    | { kind: "startFailed"; worker: string; detail: string; };

/** A gang that is to be placed. */
export interface GangPlan extends GangKey {
    spec: JobSpec;
    members: Member[];
    /** Progress to go on from. */
    resumeFromMs: number;
}

type Answers = { member: Member; answer: Result<unknown, WorkerError>; }[];

const askAll = (
    members: readonly Member[],
    findWorker: FindWorker,
    ask: (client: WorkerClient, member: Member) => Promise<Result<unknown, WorkerError>>,
): Promise<Answers> =>
    Promise.all(members.map(async member => {
        const client = findWorker(member.worker);
        const answer = client === undefined
            ? fail({ kind: "unreachable", detail: "the worker is not known" } as WorkerError)
            : await ask(client, member);
        return { member, answer };
    }));

const firstFailure = (answers: Answers): { worker: string; detail: string; } | undefined => {
    for (const { member, answer } of answers) {
        if (!answer.ok) {
            return { worker: member.worker, detail: answer.error.detail };
        }
    }
    return undefined;
};

const holdAll = async (plan: GangPlan, findWorker: FindWorker, times: GangTimes): Promise<GangError | undefined> => {
    const { jobId, attempt, planner, spec, members } = plan;
    const held = await askAll(members, findWorker, (client, member) =>
        client.hold({
            jobId,
            attempt,
            planner,
            taskCount: member.taskCount,
            resourcesPerTask: resourcesPerTask(spec.shape),
            holdMs: times.holdMs,
        }));
    const refused = firstFailure(held);
    if (refused === undefined) {
        return undefined;
    }
    await releaseAll(plan, findWorker);
    return { kind: "holdRefused", ...refused };
};

const releaseAll = (plan: GangPlan, findWorker: FindWorker): Promise<Answers> =>
    askAll(
        plan.members,
        findWorker,
        client => client.release({ jobId: plan.jobId, attempt: plan.attempt, planner: plan.planner }),
    );

const startAll = async (plan: GangPlan, findWorker: FindWorker, times: GangTimes): Promise<GangError | undefined> => {
    const { jobId, attempt, planner, members, resumeFromMs, spec } = plan;
    const started = await askAll(
        members,
        findWorker,
        client =>
            client.start({ jobId, attempt, planner, members, leaseMs: times.leaseMs, resumeFromMs, work: spec.work }),
    );
    const failed = firstFailure(started);
    return failed === undefined ? undefined : { kind: "startFailed", ...failed };
};

/** Stops an attempt on all its workers; resolves with the workers that did not confirm. */
export const stopGang = async (
    gang: { jobId: string; attempt: number; },
    members: readonly Member[],
    findWorker: FindWorker,
): Promise<string[]> => {
    const answers = await askAll(
        members,
        findWorker,
        client => client.stop([{ jobId: gang.jobId, attempt: gang.attempt }]),
    );
    return answers.filter(({ answer }) => !answer.ok).map(({ member }) => member.worker);
};

/**
 * Runs a gang on all its members or on none: hold everywhere, record the decision once, start, release the barrier.
 *
 * @param decide records the decision; holds are given back if it does not succeed
 */
export const placeGang = async <Decided>(
    plan: GangPlan,
    findWorker: FindWorker,
    times: GangTimes,
    decide: () => Promise<Result<Decided, string>>,
): Promise<Result<Decided, { error: GangError; decided?: Decided; }>> => {
    const refused = await holdAll(plan, findWorker, times);
    if (refused !== undefined) {
        return fail({ error: refused });
    }
    const decided = await decide();
    if (!decided.ok) {
        await releaseAll(plan, findWorker);
        return fail({ error: { kind: "notDecided", detail: decided.error } });
    }
    const failed = await startAll(plan, findWorker, times);
    if (failed !== undefined) {
        return fail({ error: failed, decided: decided.value });
    }
    await askAll(
        plan.members,
        findWorker,
        client => client.renew([{ jobId: plan.jobId, attempt: plan.attempt, release: true }], times.leaseMs),
    );
    return succeed(decided.value);
};

const lowestCheckpoint = (reports: readonly TaskReport[], jobId: string): number =>
    reports.filter(report => report.jobId === jobId).reduce(
        (least, report) => Math.min(least, report.checkpointedMs),
        Infinity,
    );

/**
 * Asks all members to save their progress and waits no longer than the grace.
 *
 * @returns the progress that every member saved, or `undefined` if one did not answer in time
 */
export const checkpointGang = async (
    gang: { jobId: string; attempt: number; },
    members: readonly Member[],
    findWorker: FindWorker,
    graceMs: number,
    timer: TimerService,
): Promise<number | undefined> => {
    let lowestMs = Infinity;
    const asked = askAll(members, findWorker, async client => {
        const answer = await client.checkpoint([gang]);
        lowestMs = Math.min(lowestMs, answer.ok ? lowestCheckpoint(answer.value.tasks, gang.jobId) : Infinity);
        return answer;
    });
    const answers = await Promise.race([asked, timer.sleep(graceMs)]);
    const saved = answers !== undefined && firstFailure(answers) === undefined;
    return saved && lowestMs !== Infinity ? lowestMs : undefined;
};
