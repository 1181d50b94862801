/** Callers and submitters of a soak run. */
import type { JobView } from "../../src/jobs/queries/jobView.js";
import type { Outcome } from "../../src/routing/types.js";
import { pickOne } from "../../src/utils/random.js";
import type { Random } from "../../src/utils/random.js";
import { sendJson } from "../localCluster.js";
import type { LocalCluster, RunningDaemon } from "../localCluster.js";
import { wasDisturbed } from "./record.js";
import type { CallNote, SoakRecord } from "./record.js";

/** Routers that the balancer would use. */
export type ReadyRouters = () => RunningDaemon[];

interface CallReply {
    outcome: Outcome;
    result?: { echo?: { key?: string; }; };
}

const callPeriodMs = 25;
const jobPeriodMs = 700;
const repeatShare = 0.15;
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
    const note: CallNote = {
        key,
        atMostOnce,
        sentAtMs: Date.now(),
        answeredAtMs: 0,
        outcome: "cutOff",
        router: nameOf(router),
        routerDisturbed: false,
    };
    try {
        const headers = { "idempotency-key": key };
        const answer = await sendJson<CallReply>(`${router.httpAddress}${path}`, { key, serviceMs }, { headers });
        note.outcome = answer.body.outcome;
        note.echo = answer.body.result?.echo?.key;
    }
    catch {
        note.outcome = "cutOff";
    }
    note.answeredAtMs = Date.now();
    note.routerDisturbed = wasDisturbed(record, note.router, note.sentAtMs - 1, note.answeredAtMs);
    record.calls.push(note);
};

const sendCalls = (ready: ReadyRouters, record: SoakRecord, random: Random, index: number): Promise<void>[] => {
    const routers = ready();
    if (routers.length === 0) {
        return [];
    }
    const atMostOnce = random() < 0.5;
    const key = `${atMostOnce ? "booking" : "quote"}-${index}`;
    const serviceMs = 5 + Math.floor(random() * 100);
    const sends = [sendCall(pickOne(random, routers), record, key, atMostOnce, serviceMs)];
    if (atMostOnce && random() < repeatShare) {
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

const jobOf = (random: Random, guaranteed: boolean): object => ({
    customer: guaranteed ? "wedding-planners" : "temple-festivals",
    service: guaranteed ? "flight-models" : "rosters",
    shape: guaranteed ? { taskCount: 16, acceleratorsPerTask: 1, adjacency: "rack" } : pickOne(random, shapes),
    declaredRunTimeMs: 1_000 + Math.floor(random() * 20_000),
    checkpointable: random() < 0.8,
    work: { runTimeMs: 300 + Math.floor(random() * 3_000), ignoresCheckpoint: random() < 0.2, fails: random() < 0.05 },
});

const submit = async (cluster: LocalCluster, record: SoakRecord, random: Random, index: number): Promise<void> => {
    const guaranteed = random() < 0.2;
    const key = `job-${index}`;
    const body = jobOf(random, guaranteed);
    const scheduler = pickOne(random, cluster.schedulers());
    const cancels = random() < cancelShare;
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
        if (cancels) {
            await sendJson(`${scheduler.httpAddress}/v1/jobs/${id}`, undefined, { method: "DELETE" });
        }
    }
    catch {
        // the scheduler was killed; what it recorded is checked through the table
    }
};

/** Runs callers and submitters until told to stop; resolves once every request has ended. */
export const startLoad = (cluster: LocalCluster, ready: ReadyRouters, record: SoakRecord, random: Random) => {
    const open = new Set<Promise<void>>();
    let calls = 0;
    let jobs = 0;
    const track = (promise: Promise<void>): void => {
        open.add(promise);
        void promise.finally(() => open.delete(promise));
    };
    const callTimer = setInterval(() => sendCalls(ready, record, random, calls++).forEach(track), callPeriodMs);
    const jobTimer = setInterval(() => track(submit(cluster, record, random, jobs++)), jobPeriodMs);
    return async (): Promise<void> => {
        clearInterval(callTimer);
        clearInterval(jobTimer);
        await Promise.race([Promise.all(open), new Promise(resolve => setTimeout(resolve, 10_000))]);
    };
};
