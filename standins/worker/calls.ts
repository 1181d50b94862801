import { setTimeout as sleep } from "node:timers/promises";
import type { JsonAnswer } from "../../src/utils/http.js";
import type { RecordEvent, WorkerSwitches } from "./types.js";

/** A call as a router sends it. */
export interface CallRequest {
    requestId: string;
    key?: string;
    service: string;
    customer: string;
    body: unknown;
}

/** Fault that is injected into the answer of a call. */
export enum AnswerFault {
    None = "none",
    /** The answer carries the id of another request. */
    OtherRequest = "crossed",
    /** The body ends halfway. */
    Truncated = "cutShort",
    /** No answer is sent. */
    Lost = "lost",
}

/** Runs the calls of one worker in its slots. */
export interface WorkerCalls {
    /** Runs a call, or refuses it if the worker is leaving, the call is fenced or all slots are busy. */
    run(request: CallRequest): Promise<JsonAnswer>;
    /** Returns whether a call ran; one that has not started will be refused from now on. */
    fence(requestId: string): "ran" | "running" | "neverRan";
    busySlots(): number;
    /** Draws the fault of the next answer at random. */
    drawAnswerFault(): AnswerFault;
}

const defaultServiceMs = 20;
const slotCount = 8;

/** Creates the calls of one worker; `random` draws the faults of answers. */
export const createWorkerCalls = (
    switches: WorkerSwitches,
    record: RecordEvent,
    random: () => number,
): WorkerCalls => {
    const running = new Set<string>();
    const ended = new Set<string>();
    const fenced = new Set<string>();

    const refuse = (request: CallRequest, reason: string): JsonAnswer => {
        record({ kind: "callRefused", requestId: request.requestId });
        return { status: 503, body: { requestId: request.requestId, refused: true, reason } };
    };

    const refusalReason = (request: CallRequest): string | undefined => {
        if (switches.leaving) {
            return "leaving";
        }
        if (fenced.has(request.requestId)) {
            return "fenced";
        }
        return running.size >= slotCount ? "busy" : undefined;
    };

    const run = async (request: CallRequest): Promise<JsonAnswer> => {
        const reason = refusalReason(request);
        if (reason !== undefined) {
            return refuse(request, reason);
        }
        const work = (request.body ?? {}) as { serviceMs?: number; fails?: boolean; };
        running.add(request.requestId);
        record({ kind: "callStarted", requestId: request.requestId, key: request.key });
        await sleep(work.serviceMs ?? defaultServiceMs);
        running.delete(request.requestId);
        ended.add(request.requestId);
        record({ kind: "callEnded", requestId: request.requestId, key: request.key });
        if (work.fails || switches.failEverything) {
            return { status: 500, body: { requestId: request.requestId, failed: true, reason: "the work failed" } };
        }
        const result = { echo: request.body, service: request.service };
        return { status: 200, body: { requestId: request.requestId, result } };
    };

    const fence = (requestId: string): "ran" | "running" | "neverRan" => {
        if (ended.has(requestId)) {
            return "ran";
        }
        if (running.has(requestId)) {
            return "running";
        }
        fenced.add(requestId);
        return "neverRan";
    };

    const drawAnswerFault = (): AnswerFault => {
        const draw = random();
        if (draw < switches.crossedShare) {
            return AnswerFault.OtherRequest;
        }
        if (draw < switches.crossedShare + switches.cutShortShare) {
            return AnswerFault.Truncated;
        }
        const lostFrom = switches.crossedShare + switches.cutShortShare;
        return draw < lostFrom + switches.lostShare ? AnswerFault.Lost : AnswerFault.None;
    };

    return { run, fence, busySlots: () => running.size, drawAnswerFault };
};
