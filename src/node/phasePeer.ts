import type { CachedPhase } from "../jobs/phaseCache.js";
import { JobPhase } from "../jobs/types.js";
import type { Peer } from "../state/peerDirectory.js";
import { createPeerClients } from "./peerClients.js";

/** Path under which a VM tells other VMs what it knows of a job's phase. */
export const phasePath = "/v1/phase";
/** Limit on connections to a VM for this; those of the relay may all wait for a table that does not answer. */
const maxConnections = 2;
const okStatus = 200;

/** Answer of a VM that was asked for a job's phase. */
export interface PhaseAnswer {
    /** @default it does not know the job's phase */
    known?: CachedPhase;
}

/** Asks another VM for a job's phase; resolves with `undefined` if it gives no valid answer in time. */
export type AskForPhase = (vm: string, jobId: string, timeoutMs: number) => Promise<PhaseAnswer | undefined>;

const isVersion = (value: unknown): boolean => Number.isSafeInteger(value) && Number(value) >= 0;

const isCachedPhase = (value: unknown): boolean => {
    const { phase, owner, submissionVersion, recordVersion, endedAtMs } = (value ?? {}) as Partial<
        Record<string, unknown>
    >;
    const { customer, queue } = (owner ?? {}) as Partial<Record<string, unknown>>;
    return Object.values<unknown>(JobPhase).includes(phase)
        && typeof queue === "string" && (customer === undefined || typeof customer === "string")
        && isVersion(submissionVersion) && isVersion(recordVersion)
        && (endedAtMs === undefined || typeof endedAtMs === "number");
};

const isPhaseAnswer = (body: unknown): body is PhaseAnswer => {
    const answer = body as { known?: unknown; } | null | undefined;
    return typeof answer === "object" && answer !== null
        && (answer.known === undefined || isCachedPhase(answer.known));
};

/** Whether the parsed body of a request asks for a job's phase. */
export const isPhaseRequest = (body: unknown): body is { jobId: string; } =>
    typeof (body as { jobId?: unknown; } | undefined)?.jobId === "string";

/** Creates the client that asks other VMs for the phases of jobs. */
export const createPhaseClient = (others: () => readonly Peer[]): AskForPhase => {
    const findClient = createPeerClients(maxConnections);
    return async (vm, jobId, timeoutMs) => {
        const peer = others().find(({ name }) => name === vm);
        if (peer === undefined) {
            return undefined;
        }
        const outcome = await findClient(peer.address).call({
            method: "POST",
            path: phasePath,
            body: { jobId },
            timeoutMs,
        });
        return outcome.ok && outcome.answer.status === okStatus && isPhaseAnswer(outcome.answer.body)
            ? outcome.answer.body
            : undefined;
    };
};
