import { assert } from "chai";
import { createCandidacy, HandoverReason } from "../src/execution/candidacy.js";
import { createPlannerElection } from "../src/execution/plannerElection.js";
import type { PlannerLease } from "../src/execution/plannerLease.js";
import { plannerLeaseKey, plannerPart, plannerTable } from "../src/jobs/rows.js";
import type { RowsAt, StateRow, StateTable } from "../src/state/types.js";
import { succeed } from "../src/utils/result.js";
import type { Result } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import type { VirtualTimer } from "../src/utils/virtualTimer.js";
import { createTableModel } from "../standins/fleet/tableModel.js";

/** Silence after which every candidate has tried to acquire the term. */
const silenceMs = 3_000;

const createLeaseRow = (version: number, lease: Partial<PlannerLease>): StateRow => ({
    table: plannerTable,
    part: plannerPart,
    key: plannerLeaseKey,
    version,
    value: { holder: "vm1", term: 1, beat: 1, ...lease },
});

const createOptions = (timer: VirtualTimer) => ({
    timer,
    log: () => {},
    vm: "vm3",
    followerAgeMs: () => 0,
    isCandidate: () => true,
    relativePower: () => 1,
    handoverReason: () => undefined,
    takeoverMs: () => 0,
    hasPlanned: () => false,
    pendingCounts: () => undefined,
    leaseBounds: () => undefined,
    onLeasesPublished: () => {},
    longestGrantMs: 8_500,
    longestLateGrantMs: 25_500,
    random: () => 0,
    onGained: () => {},
    onLost: () => {},
});

/** Creates the election of a VM whose read of the lease is answered by `answerRead`. */
const createElection = () => {
    const timer = createVirtualTimer();
    let answerRead: (rows: StateRow[]) => void;
    let commits = 0;
    const state: StateTable = {
        commit: async () => {
            commits += 1;
            return succeed({ version: 10 });
        },
        read: () =>
            new Promise<Result<RowsAt, never>>(resolve => {
                answerRead = rows => resolve(succeed({ rows, version: 9 }));
            }),
        changes: async () => succeed({ rows: [], version: 9 }),
    };
    const election = createPlannerElection({ ...createOptions(timer), state });
    return { election, timer, commits: () => commits, answerRead: (rows: StateRow[]) => answerRead(rows) };
};

describe("a VM that finds the term silent", () => {
    it("acquires it", async () => {
        const { election, timer, commits, answerRead } = createElection();
        const silent = createLeaseRow(5, {});
        election.observe(silent);
        await timer.advance(silenceMs);
        answerRead([silent]);
        await timer.advance(10);
        assert.equal(commits(), 1);
        assert.equal(election.currentTerm(), 2);
        election.stop();
    });

    // each change of planner costs seconds, and makes the next planner wait for earlier leases anew
    it("leaves it to the VM that acquired it while the lease was read", async () => {
        const { election, timer, commits, answerRead } = createElection();
        election.observe(createLeaseRow(5, {}));
        await timer.advance(silenceMs);
        const acquired = createLeaseRow(6, { holder: "vm2", term: 2 });
        election.observe(acquired);
        answerRead([acquired]);
        await timer.advance(10);
        assert.equal(commits(), 0);
        assert.isUndefined(election.currentTerm());
        election.stop();
    });
});

describe("a planner that stops while a renewal is in progress", () => {
    it("releases the term although the renewal takes effect first", async () => {
        const timer = createVirtualTimer();
        const model = createTableModel();
        const answer = async <Value>(value: Value): Promise<Value> => {
            await timer.sleep(400);
            return value;
        };
        const state: StateTable = {
            commit: transaction => answer(model.commit(transaction)),
            read: range => answer(succeed(model.read(range))),
            changes: async () => succeed({ rows: [], version: 0 }),
        };
        let renewals = 0;
        const election = createPlannerElection({
            ...createOptions(timer),
            state,
            pendingCounts: () => {
                renewals += 1;
                return undefined;
            },
        });
        while (renewals === 0) {
            await timer.advance(50);
        }
        void election.release();
        await timer.advance(2_000);
        const [lease] = model.read({ table: plannerTable, part: plannerPart }).rows;
        assert.equal((lease.value as PlannerLease).holder, "");
    });
});

describe("a VM that is overloaded as the planner", () => {
    it("hands the term over later, the longer the change of planner takes", async () => {
        const timer = createVirtualTimer();
        const candidacy = createCandidacy({
            timer,
            relativePower: () => 1,
            random: () => 0,
            handoverReason: () => HandoverReason.Overloaded,
            takeoverMs: () => 6_000,
        });
        candidacy.recordAcquired(0);
        await timer.advance(100_000);
        assert.isUndefined(candidacy.handoverReason());
        await timer.advance(25_000);
        assert.equal(candidacy.handoverReason(), HandoverReason.Overloaded);
    });
});
