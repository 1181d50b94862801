/** Policies of ours that the planner is compared with. */
import { fitIntoDomain, fitsEmptyFleet } from "../src/scheduling/fit.js";
import type { Available } from "../src/scheduling/fit.js";
import type { Ledger } from "../src/scheduling/ledger.js";
import type { QueuedJob } from "../src/scheduling/order.js";
import { DecisionKind } from "../src/scheduling/plan.js";
import type { Decision, PlanInput, PlanRound } from "../src/scheduling/plan.js";
import { addScaled, atMost, noResources, resourcesPerTask } from "../src/scheduling/resources.js";
import { AllocationClass } from "../src/scheduling/types.js";
import type { Member } from "../src/scheduling/types.js";

const firstFit = (ledger: Ledger, job: QueuedJob, available: Available): Member[] | undefined => {
    for (const domain of ledger.fleet.domains(job.spec.shape.adjacency)) {
        const candidate = fitIntoDomain(job.spec.shape, domain, available);
        if (candidate !== undefined) {
            return candidate.members;
        }
    }
    return undefined;
};

const place = (input: PlanInput, job: QueuedJob, members: Member[]): Decision => {
    input.ledger.allocate({
        job: job.spec,
        attempt: job.attempts + 1,
        members,
        class: AllocationClass.Borrowed,
        startedAtMs: input.nowMs,
        checkpointedAtMs: input.nowMs,
        leaving: false,
    });
    return { kind: DecisionKind.Place, job, members, class: AllocationClass.Borrowed };
};

const inOrder = (
    input: PlanInput,
    tryPlace: (job: QueuedJob) => Member[] | undefined,
    blocks: (job: QueuedJob) => string | undefined,
) => {
    const decisions: Decision[] = [];
    const blocked = new Set<string>();
    const queue = [...input.queue].sort((left, right) => left.spec.submittedAtMs - right.spec.submittedAtMs);
    for (const job of queue) {
        if (!fitsEmptyFleet(job.spec.shape, input.ledger.fleet)) {
            decisions.push({ kind: DecisionKind.Reject, job, reason: "too large" });
            continue;
        }
        const line = blocks(job);
        const members = line !== undefined && blocked.has(line) ? undefined : tryPlace(job);
        if (members !== undefined) {
            decisions.push(place(input, job, members));
        }
        else if (line !== undefined) {
            blocked.add(line);
        }
    }
    return decisions;
};

const isHolder = (ledger: Ledger, customer: string): boolean =>
    [...ledger.cells.values()].some(cell => cell.customer === customer);

/** What a customer may use if nobody lends: its own cells, or what lies outside all cells. */
const ownShare = (ledger: Ledger, customer: string): Available => {
    const own = isHolder(ledger, customer);
    return worker => {
        const free = ledger.free(worker);
        if (!own) {
            return atMost(free, addScaled(ledger.outsideCells(worker), usedOutside(ledger, worker.name), -1));
        }
        return atMost(free, cellShare(ledger, customer, worker.name));
    };
};

const cellShare = (ledger: Ledger, customer: string, worker: string) => {
    let share = noResources();
    for (const cell of ledger.cells.values()) {
        const member = cell.members.find(candidate => candidate.worker === worker);
        if (cell.customer === customer && member !== undefined) {
            share = addScaled(share, resourcesPerTask(cell.shape), member.taskCount);
        }
    }
    return share;
};

const usedOutside = (ledger: Ledger, worker: string) => {
    let used = noResources();
    for (const allocation of ledger.borrowersOn(worker)) {
        const member = allocation.members.find(candidate => candidate.worker === worker);
        if (member !== undefined && !isHolder(ledger, allocation.job.customer)) {
            used = addScaled(used, resourcesPerTask(allocation.job.shape), member.taskCount);
        }
    }
    return used;
};

/** First come, first served, first fit; nobody lends. Each customer's oldest job holds up its later ones. */
export const withoutBorrowing: PlanRound = input =>
    inOrder(
        input,
        job => firstFit(input.ledger, job, ownShare(input.ledger, job.spec.customer)),
        job => job.spec.customer,
    );

/** First come, first served, first fit on anything free; nothing is ever taken back. */
export const naiveBorrowing: PlanRound = input =>
    inOrder(input, job => firstFit(input.ledger, job, worker => input.ledger.free(worker)), () => undefined);
