import type { ConfigurationFollower } from "../configuration/follower.js";
import { callsSettingOf } from "../configuration/queries/settings.js";
import type { CallsStatement } from "../configuration/types.js";
import { Outcome } from "../routing/types.js";
import type { Call, CallAnswer } from "../routing/types.js";
import { problemAnswer } from "../utils/http.js";
import type { JsonAnswer, JsonHandler, JsonRequest } from "../utils/http.js";
import type { TimerService } from "../utils/timer.js";

const maxDeadlineMs = 600_000;

/** Customer and service in the path of a call. */
interface CallTarget {
    customer: string;
    service: string;
}

const callPathPattern = /^\/v1\/customers\/([^/]+)\/services\/([^/]+)\/calls$/;

const parseCallPath = (path: string): CallTarget | undefined => {
    const match = callPathPattern.exec(path);
    return match === null
        ? undefined
        : { customer: decodeURIComponent(match[1]), service: decodeURIComponent(match[2]) };
};

/** Creates the problem answer for a call that did not run. */
export const notRunAnswer = (status: number, title: string, detail: string): JsonAnswer =>
    problemAnswer({ title, status, detail, outcome: Outcome.NotRun }, { outcome: Outcome.NotRun });

/** Deadline from the request's header or else from the configuration; `undefined` when the header is invalid. */
const deadlineOf = (request: JsonRequest, setting: CallsStatement): number | undefined => {
    const header = request.headers["deadline-ms"];
    if (header === undefined) {
        return setting.deadlineMs;
    }
    const deadlineMs = Number(header);
    return Number.isInteger(deadlineMs) && deadlineMs > 0 && deadlineMs <= maxDeadlineMs ? deadlineMs : undefined;
};

/** Converts the answer of a call to an HTTP answer; errors carry problem details and the outcome. */
export const toHttpAnswer = (answer: CallAnswer): JsonAnswer => {
    const headers = {
        outcome: answer.outcome,
        ...(answer.retryAfterSeconds === undefined ? {} : { "retry-after": String(answer.retryAfterSeconds) }),
    };
    if (answer.outcome === Outcome.Done) {
        return { status: 200, body: { outcome: answer.outcome, result: answer.result }, headers };
    }
    const { status, outcome } = answer;
    const title = outcome === Outcome.NotRun ? "the call did not run" : "it is not known whether the call ran";
    return problemAnswer({ title, status, detail: answer.detail ?? title, outcome }, headers);
};

/** Options of {@link createRouterHttp}. */
export interface RouterHttpOptions {
    follower: ConfigurationFollower;
    timer: TimerService;
    /** Runs a validated call unless its customer has `maxInFlight` calls to the service in progress. */
    serve: (call: Call, maxInFlight: number) => Promise<JsonAnswer>;
    /** Readiness for load balancers; false from the beginning of a stop. */
    isReady: () => boolean;
    /** Whether new calls are refused because the process is stopping. */
    isRefusing: () => boolean;
    dump: () => unknown;
}

/** Creates the HTTP request handler of a router, which validates calls before it runs them. */
export const createRouterHttp = (options: RouterHttpOptions): JsonHandler => {
    const answerCall = async (request: JsonRequest, target: CallTarget): Promise<JsonAnswer> => {
        if (options.isRefusing()) {
            const refusal = notRunAnswer(503, "stopping", "this VM is leaving; use another");
            return { ...refusal, headers: { ...refusal.headers, connection: "close" } };
        }
        const setting = callsSettingOf(options.follower.current(), target.customer, target.service);
        if (setting === undefined) {
            const { customer, service } = target;
            return notRunAnswer(404, "unknown service", `no statement allows "${customer}" to call "${service}"`);
        }
        const { urgency, atMostOnce, maxInFlight } = setting.value;
        const key = request.headers["idempotency-key"]?.toString();
        if (atMostOnce && (key === undefined || key === "")) {
            return notRunAnswer(400, "key missing", "calls that may run at most once need an Idempotency-Key header");
        }
        const deadlineMs = deadlineOf(request, setting.value);
        if (deadlineMs === undefined) {
            return notRunAnswer(400, "bad deadline", `Deadline-Ms must be a whole number from 1 to ${maxDeadlineMs}`);
        }
        const deadlineAtMs = options.timer.nowMs() + deadlineMs;
        const { body, callerGone } = request;
        return options.serve({ ...target, key, body, urgency, atMostOnce, deadlineAtMs, callerGone }, maxInFlight);
    };

    const answerReady = (): JsonAnswer =>
        options.isReady() ? { status: 200, body: { ready: true } } : { status: 503, body: { ready: false } };

    return async request => {
        const target = parseCallPath(request.path);
        if (target !== undefined && request.method === "POST") {
            return answerCall(request, target);
        }
        switch (request.path) {
            case "/v1/dump":
                return { status: 200, body: options.dump() };
            case "/v1/ready":
                return answerReady();
            default:
                return notRunAnswer(404, "not found", request.path);
        }
    };
};
