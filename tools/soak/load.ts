/** Load generator of a soak run: sends calls to routers and submits jobs to schedulers. */
import type { JobView } from "../../src/jobs/queries/jobView.js";
import type { Outcome } from "../../src/routing/types.js";
import { pickOne } from "../../src/utils/random.js";
import type { Random } from "../../src/utils/random.js";
import { sendJson } from "../localCluster.js";
import type { LocalCluster, RunningDaemon } from "../localCluster.js";
import { wasDisrupted } from "./record.js";
import type { CallRecord, SoakRecord } from "./record.js";

/** Returns the routers that the load balancer sends calls to. */
export type ReadyRouters = () => RunningDaemon[];

interface CallReply {
    outcome: Outcome;
    result?: { echo?: { key?: string; }; };
}

const callPeriodMs = 25;
const jobPeriodMs = 700;
/** Share of at-most-once calls that are sent twice under one idempotency key. */
const duplicateShare = 0.15;
/** Share of jobs that are cancelled right after they were accepted. */
const cancelShare = 0.1;

const nameOf = (daemon: RunningDaemon): string => `${daemon.vm}/${daemon.role}`;

const sendCall = async (
    router: RunningDaemon,
    record: SoakRecord,
    key: string,
    atMostOnce: boolean,
    serviceMs: number,
): Promise<void> => {
    const path = atMostOnce
        ? "/v1/customers/funeral-parlours/services/booking/calls"
        : "/v1/customers/backyard-keepers/services/quotes/calls";
    const call: CallRecord = {
        key,
        atMostOnce,
        sentAtMs: Date.now(),
        answeredAtMs: 0,
        outcome: "cutOff",
        router: nameOf(router),
        routerDisrupted: false,
    };
    try {
        const headers = { "idempotency-key": key };
        const answer = await sendJson<CallReply>(`${router.httpAddress}${path}`, { key, serviceMs }, { headers });
        call.outcome = answer.body.outcome;
        call.echo = answer.body.result?.echo?.key;
    }
    catch {
        call.outcome = "cutOff";
    }
    call.answeredAtMs = Date.now();
    call.routerDisrupted = wasDisrupted(record, call.router, call.sentAtMs - 1, call.answeredAtMs);
    record.calls.push(call);
};

const sendCalls = (readyRouters: ReadyRouters, record: SoakRecord, random: Random, index: number): Promise<void>[] => {
    const routers = readyRouters();
    if (routers.length === 0) {
        return [];
    }
    const atMostOnce = random() < 0.5;
    const key = `${atMostOnce ? "booking" : "quote"}-${index}`;
    const serviceMs = 5 + Math.floor(random() * 100);
    const sends = [sendCall(pickOne(random, routers), record, key, atMostOnce, serviceMs)];
    if (atMostOnce && random() < duplicateShare) {
        sends.push(sendCall(pickOne(random, routers), record, key, atMostOnce, serviceMs));
    }
    return sends;
};

const shapes = [
    { taskCount: 1, acceleratorsPerTask: 1, adjacency: "worker" },
    { taskCount: 2, acceleratorsPerTask: 4, adjacency: "rack" },
    { taskCount: 12, acceleratorsPerTask: 1, adjacency: "rack" },
    { taskCount: 24, acceleratorsPerTask: 1, adjacency: "availabilityZone" },
];

const createJobRequest = (random: Random, guaranteed: boolean): object => ({
    customer: guaranteed ? "wedding-planners" : "temple-festivals",
    service: guaranteed ? "flight-models" : "rosters",
    shape: guaranteed ? { taskCount: 16, acceleratorsPerTask: 1, adjacency: "rack" } : pickOne(random, shapes),
    declaredRunTimeMs: 1_000 + Math.floor(random() * 20_000),
    checkpointable: random() < 0.8,
    work: { runTimeMs: 300 + Math.floor(random() * 3_000), ignoresCheckpoint: random() < 0.2, fails: random() < 0.05 },
});

const submitJob = async (cluster: LocalCluster, record: SoakRecord, random: Random, index: number): Promise<void> => {
    const guaranteed = random() < 0.2;
    const key = `job-${index}`;
    const body = createJobRequest(random, guaranteed);
    const scheduler = pickOne(random, cluster.schedulers());
    const willCancel = random() < cancelShare;
    try {
        const headers = { "idempotency-key": key };
        const answer = await sendJson<JobView>(`${scheduler.httpAddress}/v1/jobs`, body, {
            headers,
        });
        if (answer.status !== 202) {
            return;
        }
        const { id, taskCount } = answer.body;
        record.jobs.push({ id, guaranteed, taskCount });
        if (willCancel) {
            await sendJson(`${scheduler.httpAddress}/v1/jobs/${id}`, undefined, { method: "DELETE" });
        }
    }
    catch {
        // the scheduler was killed; jobs that it stored are checked through the workers' events
    }
};

/** Sends calls and jobs periodically; the returned function stops this and waits up to 10 s for open requests. */
export const startLoad = (cluster: LocalCluster, readyRouters: ReadyRouters, record: SoakRecord, random: Random) => {
    const pending = new Set<Promise<void>>();
    let calls = 0;
    let jobs = 0;
    const track = (promise: Promise<void>): void => {
        pending.add(promise);
        void promise.finally(() => pending.delete(promise));
    };
    const callTimer = setInterval(() => sendCalls(readyRouters, record, random, calls++).forEach(track), callPeriodMs);
    const jobTimer = setInterval(() => track(submitJob(cluster, record, random, jobs++)), jobPeriodMs);
    return async (): Promise<void> => {
        clearInterval(callTimer);
        clearInterval(jobTimer);
        await Promise.race([Promise.all(pending), new Promise(resolve => setTimeout(resolve, 10_000))]);
    };
};
