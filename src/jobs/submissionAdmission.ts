import type { EntryMetrics } from "../node/entryMetrics.js";
import type { Log } from "../node/logs.js";
import { unansweredMs } from "../state/outageEvidence.js";
import type { OutageEvidence } from "../state/outageEvidence.js";
import { createTableContact } from "../state/tableContact.js";
import type { StateTable } from "../state/types.js";
import type { Random } from "../utils/random.js";
import { awaitGuarded } from "../utils/runGuarded.js";
import type { TimerService } from "../utils/timer.js";
import { jobParts, jobsTable } from "./rows.js";
import { createSubmissionGate, decideSubmission, GateDecisionKind, updateSubmissionGate } from "./submissionGate.js";
import type { GateDecision } from "./submissionGate.js";

/** Options of {@link createSubmissionAdmission}. */
export interface SubmissionAdmissionOptions {
    /** Access to the table, directly or relayed. */
    state: StateTable;
    timer: TimerService;
    log: Log;
    metrics: Pick<EntryMetrics, "recordUnsentSubmission" | "setSubmissionGateClosed">;
    random: Random;
}

/** Refusal of a submission that was not sent. */
export interface UnsentRefusal {
    /** Time after which the caller may come back. */
    retryAfterMs: number;
    /** Length of the outage so far; 0 right after one. */
    outageMs: number;
}

/** Admits submissions while the table answers, and finds out when it does again. */
export interface SubmissionAdmission {
    /** The table; what its operations show decides whether submissions are admitted. */
    table: StateTable;
    /**
     * Resolves when a submission may be sent, or with a refusal.
     *
     * @param mayWaitMs longest time for which it may wait unsent
     */
    admit(priority: number, mayWaitMs: number): Promise<UnsentRefusal | undefined>;
    /** Whether the table answers no operation of this VM, directly or relayed. */
    isOutage(): boolean;
    /** State for operators. */
    dump(): unknown;
    stop(): void;
}

/** Pause between probes. */
const probeIntervalMs = 250;
/** Time after which an operation without an answer is a reason to probe; a table 60 times slower takes 0.24 s. */
const doubtAfterMs = 300;
/** Time after which an operation in progress counts as unanswered; a slow table takes up to 0.5 s. */
const overdueAfterMs = 600;
/** Lateness of a check from which the process had no processor time: answers may have arrived that it has not read. */
const maxCheckLatenessMs = 100;
/** Range of keys that holds no rows, read by probes. */
const probeRange = { from: "~", before: "~~" };

/** Creates the admission of submissions; it is open until the table does not answer. */
export const createSubmissionAdmission = (options: SubmissionAdmissionOptions): SubmissionAdmission => {
    const { timer, log, metrics, random } = options;
    let gate = createSubmissionGate();
    let refused = 0;
    let probes = 0;
    let checkDueAtMs = timer.nowMs() + probeIntervalMs;
    /** Whether the latest check was late; operations may have timed out meanwhile although the table answered them. */
    let wasDelayed = false;

    const isDelayed = (): boolean => timer.nowMs() - checkDueAtMs > maxCheckLatenessMs;

    const onEvidence = (evidence: OutageEvidence): void => {
        const before = gate;
        if (before.outageSinceMs === undefined && (wasDelayed || isDelayed())) {
            return;
        }
        gate = updateSubmissionGate(gate, evidence);
        if (before.outageSinceMs === undefined && gate.outageSinceMs !== undefined) {
            refused = 0;
            metrics.setSubmissionGateClosed(true);
            log("warn", "submission gate closed", {
                unansweredMs: Math.round(unansweredMs(evidence)),
                unanswered: evidence.unanswered,
                parts: evidence.parts.size,
            });
        }
        else if (before.outageSinceMs !== undefined && gate.outageSinceMs === undefined) {
            metrics.setSubmissionGateClosed(false);
            log("info", "submission gate opened", { outageMs: Math.round(gate.pastOutagesMs.at(-1) ?? 0), refused });
        }
    };

    const contact = createTableContact({ state: options.state, timer, onResult: onEvidence });

    const probe = async (): Promise<void> => {
        const part = jobParts[probes++ % jobParts.length];
        await awaitGuarded(
            () => contact.table.read({ table: jobsTable, part, ...probeRange }),
            detail => log("error", "a probe of the table failed", { part, detail }),
        );
    };

    const check = async (): Promise<void> => {
        wasDelayed = isDelayed();
        onEvidence(contact.evidence(overdueAfterMs));
        if (gate.outageSinceMs !== undefined) {
            await probe();
        }
        else if (contact.evidence(doubtAfterMs).unanswered > 0) {
            // not awaited: several parts have to be tried before the gate may close
            void probe();
        }
        checkDueAtMs = timer.nowMs() + probeIntervalMs;
    };

    const decide = (priority: number, mayWaitMs: number): GateDecision =>
        decideSubmission(gate, { priority, nowMs: timer.nowMs(), mayWaitMs, random });

    const unsubscribe = timer.every(probeIntervalMs, check);
    return {
        table: contact.table,
        admit: async (priority, mayWaitMs) => {
            const startedAtMs = timer.nowMs();
            let decision = decide(priority, mayWaitMs);
            while (decision.kind === GateDecisionKind.Wait) {
                await timer.sleep(decision.waitMs);
                decision = decide(priority, mayWaitMs - (timer.nowMs() - startedAtMs));
            }
            if (decision.kind === GateDecisionKind.Send) {
                return undefined;
            }
            refused += 1;
            metrics.recordUnsentSubmission(priority);
            return { retryAfterMs: decision.retryAfterMs, outageMs: decision.outageMs };
        },
        isOutage: () => gate.outageSinceMs !== undefined,
        dump: () => ({
            outageMs: gate.outageSinceMs === undefined ? undefined : Math.round(timer.nowMs() - gate.outageSinceMs),
            refused,
            pastOutagesMs: gate.pastOutagesMs.map(Math.round),
        }),
        stop: unsubscribe,
    };
};
