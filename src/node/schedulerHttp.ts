import { publish } from "../configuration/commands/publish.js";
import type { PublishError, PublishRequest } from "../configuration/commands/publish.js";
import type { ConfigurationFollower } from "../configuration/follower.js";
import type { WorkerFacts } from "../configuration/queries/checkTogether.js";
import { checkJobRequest, describeProblem } from "../configuration/schema.js";
import type { Peers } from "../peers/peers.js";
import type { PlatformClient } from "../platform/types.js";
import { cancelJob } from "../scheduling/commands/cancelJob.js";
import { submitJob } from "../scheduling/commands/submitJob.js";
import type { JobRequest, SubmitError } from "../scheduling/commands/submitJob.js";
import { readJob } from "../scheduling/jobTable.js";
import { fleetKey } from "../scheduling/planner.js";
import { problemAnswer } from "../utils/http.js";
import type { JsonAnswer, JsonHandler, JsonRequest } from "../utils/http.js";
import type { TimerService } from "../utils/timer.js";
import type { Log } from "./logs.js";

const submitStatus: Record<SubmitError["kind"], number> = {
    unknownCustomer: 404,
    neverFits: 422,
    keyReused: 422,
    unavailable: 503,
    unknown: 504,
};

const publishStatus: Record<PublishError["kind"], number> = {
    problems: 422,
    conflicts: 409,
    raced: 409,
    unavailable: 503,
    unknown: 504,
};

const keyOf = (request: JsonRequest): string | undefined => request.headers["idempotency-key"]?.toString();

/** Options of {@link createSchedulerHttp}. */
export interface SchedulerHttpOptions {
    platform: PlatformClient;
    follower: ConfigurationFollower;
    peers: Peers;
    timer: TimerService;
    log: Log;
    /** Tells the planner that a job is new or changed. */
    noticePlanner: (jobId: string) => void;
    dump: () => unknown;
}

/** Creates the HTTP interface of a scheduler for submitters, publishers and operators. */
export const createSchedulerHttp = (options: SchedulerHttpOptions): JsonHandler => {
    const { platform, follower, peers, timer, log, noticePlanner } = options;

    const answerSubmit = async (request: JsonRequest): Promise<JsonAnswer> => {
        const problems = checkJobRequest(request.body).map(describeProblem);
        if (problems.length > 0) {
            const detail = problems.join("; ");
            return problemAnswer({ title: "malformed job", status: 400, detail, outcome: "notRun" });
        }
        const job = request.body as JobRequest;
        const submitted = await submitJob(platform, follower.current(), job, keyOf(request), timer.wallClockMs());
        if (!submitted.ok) {
            const { kind, detail } = submitted.error;
            const outcome = kind === "unknown" ? "unknown" : "notRun";
            return problemAnswer({ title: kind, status: submitStatus[kind], detail, outcome });
        }
        noticePlanner(submitted.value.record.spec.id);
        return { status: 202, body: submitted.value.record };
    };

    const answerJob = async (request: JsonRequest, jobId: string): Promise<JsonAnswer> => {
        if (request.method === "DELETE") {
            const cancelled = await cancelJob(platform, jobId);
            if (!cancelled.ok) {
                const status = cancelled.error.kind === "notFound" ? 404 : 503;
                return problemAnswer({ title: cancelled.error.kind, status, detail: cancelled.error.detail });
            }
            noticePlanner(jobId);
            return { status: 202, body: cancelled.value.record };
        }
        const read = await readJob(platform, jobId);
        if (!read.ok) {
            return problemAnswer({ title: "unavailable", status: 503, detail: "the platform does not answer" });
        }
        return read.value === undefined
            ? problemAnswer({ title: "not found", status: 404, detail: `no job "${jobId}"` })
            : { status: 200, body: read.value.record };
    };

    const answerPublish = async (request: JsonRequest): Promise<JsonAnswer> => {
        const offered = request.body as PublishRequest | undefined;
        if (!Array.isArray(offered?.intents) || typeof offered.publisher !== "string") {
            return problemAnswer({ title: "malformed publish", status: 400, detail: "needs publisher and intents" });
        }
        const fleet = await platform.read<WorkerFacts[]>(fleetKey);
        const facts = fleet.ok ? fleet.value?.value : undefined;
        const published = await publish(platform, offered, facts, timer.wallClockMs());
        if (!published.ok) {
            const { kind } = published.error;
            return problemAnswer({ title: kind, status: publishStatus[kind], detail: kind, error: published.error });
        }
        follower.offer(published.value);
        log("info", "publish accepted", { version: published.value.version, publisher: offered.publisher });
        await peers.push(published.value);
        return { status: 200, body: published.value };
    };

    return async request => {
        const [version, resource, id] = request.path.split("/").slice(1);
        switch (`${version}/${resource}`) {
            case "v1/dump":
                return { status: 200, body: options.dump() };
            case "v1/jobs":
                return id === undefined ? answerSubmit(request) : answerJob(request, decodeURIComponent(id));
            case "v1/configurations":
                return request.method === "POST" ? answerPublish(request) : { status: 200, body: follower.current() };
            default:
                return problemAnswer({ title: "not found", status: 404, detail: request.path });
        }
    };
};
