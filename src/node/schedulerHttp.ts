import { publish } from "../configuration/commands/publish.js";
import type { PublishError, PublishRequest } from "../configuration/commands/publish.js";
import type { ConfigurationFollower } from "../configuration/follower.js";
import { checkJobRequest, describeProblem } from "../configuration/schema.js";
import { Cancellation } from "../jobs/commands/cancelStoredJob.js";
import { submitJob } from "../jobs/commands/submitJob.js";
import type { JobRequest, SubmitError } from "../jobs/commands/submitJob.js";
import { toJobView } from "../jobs/queries/jobView.js";
import type { JobSubmission } from "../jobs/types.js";
import type { Peers } from "../peers/peers.js";
import type { PlatformClient } from "../platform/types.js";
import type { StateTable } from "../state/types.js";
import { problemAnswer } from "../utils/http.js";
import type { JsonAnswer, JsonHandler, JsonRequest } from "../utils/http.js";
import type { TimerService } from "../utils/timer.js";
import { fleetKey } from "../workers/types.js";
import type { WorkerFacts } from "../workers/types.js";
import type { EntryVm } from "./entryVm.js";
import type { Log } from "./logs.js";

/** HTTP status of each submission error. */
const submitStatus: Record<SubmitError["kind"], number> = {
    unknownCustomer: 404,
    neverFits: 422,
    keyReused: 422,
    unavailable: 503,
    unknown: 504,
};

/** HTTP status of each publish error. */
const publishStatus: Record<PublishError["kind"], number> = {
    problems: 422,
    conflicts: 409,
    raced: 409,
    unavailable: 503,
    unknown: 504,
};

/** Time that a submitter waits for its answer; bounds the retries of the write. */
const submitDeadlineMs = 5_000;

const idempotencyKeyOf = (request: JsonRequest): string | undefined => request.headers["idempotency-key"]?.toString();

/** Options of {@link createSchedulerHttp}. */
export interface SchedulerHttpOptions {
    platform: PlatformClient;
    follower: ConfigurationFollower;
    peers: Peers;
    timer: TimerService;
    log: Log;
    state: StateTable;
    vm: EntryVm;
    dump: () => unknown;
}

/** Creates the HTTP request handler of a scheduler for submitters, publishers and operators. */
export const createSchedulerHttp = (options: SchedulerHttpOptions): JsonHandler => {
    const { platform, follower, peers, timer, log, vm } = options;

    const readFacts = async (): Promise<WorkerFacts[] | undefined> => {
        const fleet = await platform.read<WorkerFacts[]>(fleetKey);
        return fleet.ok ? fleet.value?.value : undefined;
    };

    const answerSubmit = async (request: JsonRequest): Promise<JsonAnswer> => {
        const problems = checkJobRequest(request.body).map(describeProblem);
        if (problems.length > 0) {
            const detail = problems.join("; ");
            return problemAnswer({ title: "malformed job", status: 400, detail, outcome: "notRun" });
        }
        const context = {
            state: options.state,
            snapshot: follower.current(),
            fleet: await readFacts(),
            accept: (submission: JobSubmission) => vm.accept(submission, submitDeadlineMs),
            wallClockMs: timer.wallClockMs(),
        };
        const submitted = await submitJob(context, request.body as JobRequest, idempotencyKeyOf(request));
        if (!submitted.ok) {
            const { kind, detail } = submitted.error;
            const outcome = kind === "unknown" ? "unknown" : "notRun";
            return problemAnswer({ title: kind, status: submitStatus[kind], detail, outcome });
        }
        return { status: 202, body: toJobView(submitted.value) };
    };

    const answerJob = async (request: JsonRequest, jobId: string): Promise<JsonAnswer> => {
        const cancellation = request.method === "DELETE" ? await vm.cancel(jobId) : Cancellation.Done;
        const storedJob = await vm.job(jobId);
        const isCancellationOpen = cancellation === Cancellation.Unavailable || cancellation === Cancellation.Unknown;
        if (isCancellationOpen || storedJob === "unavailable") {
            return problemAnswer({ title: "unavailable", status: 503, detail: "the platform does not answer" });
        }
        const view = toJobView(storedJob);
        return view === undefined
            ? problemAnswer({ title: "not found", status: 404, detail: `no job "${jobId}"` })
            : { status: request.method === "DELETE" ? 202 : 200, body: view };
    };

    const answerPublish = async (request: JsonRequest): Promise<JsonAnswer> => {
        const publishRequest = request.body as PublishRequest | undefined;
        if (!Array.isArray(publishRequest?.intents) || typeof publishRequest.publisher !== "string") {
            return problemAnswer({ title: "malformed publish", status: 400, detail: "needs publisher and intents" });
        }
        const published = await publish(platform, publishRequest, await readFacts(), timer.wallClockMs());
        if (!published.ok) {
            const { kind } = published.error;
            return problemAnswer({ title: kind, status: publishStatus[kind], detail: kind, error: published.error });
        }
        follower.offer(published.value);
        log("info", "publish accepted", { version: published.value.version, publisher: publishRequest.publisher });
        await peers.broadcastSnapshot(published.value);
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
