import { setTimeout as sleep } from "node:timers/promises";
import type { JsonAnswer } from "../../src/utils/http.js";
import type { RecordEvent, WorkerSwitches } from "./types.js";

/** A call as the router sends it. */
export interface CallRequest {
    requestId: string;
    key?: string;
    service: string;
    customer: string;
    body: unknown;
}

/** How the answer of a call is spoilt on purpose. */
export enum AnswerFault {
    None = "none",
    Crossed = "crossed",
    CutShort = "cutShort",
    Lost = "lost",
}

/** Calls of one worker on its slots. */
export interface CallTable {
    run(request: CallRequest): Promise<JsonAnswer>;
    /** Tells whether a call ran; one that did not can no longer start. */
    fence(requestId: string): "ran" | "running" | "neverRan";
    busySlots(): number;
    /** Picks the fault of the next answer. */
    nextFault(): AnswerFault;
}

const defaultServiceMs = 20;
const slotCount = 8;

/** Creates the calls of one worker. */
export const createCallTable = (
    switches: WorkerSwitches,
    record: RecordEvent,
    random: () => number,
): CallTable => {
    const running = new Set<string>();
    const ended = new Set<string>();
    const fenced = new Set<string>();

    const refuse = (request: CallRequest, reason: string): JsonAnswer => {
        record({ kind: "callRefused", requestId: request.requestId });
        return { status: 503, body: { requestId: request.requestId, refused: true, reason } };
    };

    const refusalOf = (request: CallRequest): string | undefined => {
        if (switches.leaving) {
            return "leaving";
        }
        if (fenced.has(request.requestId)) {
            return "fenced";
        }
        return running.size >= slotCount ? "busy" : undefined;
    };

    const run = async (request: CallRequest): Promise<JsonAnswer> => {
        const refusal = refusalOf(request);
        if (refusal !== undefined) {
            return refuse(request, refusal);
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

    const nextFault = (): AnswerFault => {
        const draw = random();
        if (draw < switches.crossedShare) {
            return AnswerFault.Crossed;
        }
        if (draw < switches.crossedShare + switches.cutShortShare) {
            return AnswerFault.CutShort;
        }
        const lostFrom = switches.crossedShare + switches.cutShortShare;
        return draw < lostFrom + switches.lostShare ? AnswerFault.Lost : AnswerFault.None;
    };

    return { run, fence, busySlots: () => running.size, nextFault };
};
