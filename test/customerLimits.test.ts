import { assert } from "chai";
import { decodeConfiguration } from "../platform/operator.js";
import { unlimited } from "../src/planning/customerBudgets.js";
import type { CustomerUses } from "../src/planning/customerBudgets.js";
import type { ShareUses } from "../src/planning/customerShares.js";
import { planRound } from "../src/planning/round.js";
import type { Candidate, Round } from "../src/planning/types.js";
import { findWaitReason, WaitReason } from "../src/planning/waitReason.js";
import { GuaranteeCoverage } from "../src/queues/types.js";
import type { QueueCustomer } from "../src/queues/types.js";
import { createFleetCallerHandler } from "./fixtures/callerHandler.js";
import { CallFault, createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import type { Fleet } from "./fixtures/fleet.js";
import { addOccupant, createCandidate, createRacks, createRoundInput } from "./fixtures/planning.js";
import type { CandidateOptions } from "./fixtures/planning.js";
import { createConfiguration } from "./fixtures/queueConfiguration.js";

const noResources = { milliCores: 0, memoryMb: 0, accelerators: 0 };

/** Use of the customer of {@link createCandidate}, with a limit on accelerators. */
const createUses = (maximum: number, used = 0, stopping = 0): CustomerUses =>
    new Map([["hotel", {
        maximum: { ...unlimited, accelerators: maximum },
        used: { ...noResources, accelerators: used },
        stopping: { ...noResources, accelerators: stopping },
    }]]);

const planWithin = (uses: CustomerUses, ...candidates: Candidate[]): Round =>
    planRound(createRoundInput({ workers: createRacks(2, 2), candidates, customerUses: uses }));

const placedCounts = (round: Round): Record<string, number> =>
    Object.fromEntries(round.placements.map(({ candidate, assignments }) => [candidate.key, assignments.length]));

const gangOf = (key: string, taskCount: number, options: CandidateOptions = {}): Candidate =>
    createCandidate(key, { taskCount, gang: true, ...options });

// guards against starts that bring what a customer runs above its limit
describe("a round under customers' limits", () => {
    it("starts as many independent tasks as the limit allows, counted over all work of the customer", () => {
        const tasks = createCandidate("tasks", { taskCount: 5 });
        const later = createCandidate("later", { taskCount: 5, timeToObjectiveMs: 9_000 });
        assert.deepEqual(placedCounts(planWithin(createUses(10, 3), tasks, later)), { tasks: 5, later: 2 });
    });

    it("bounds cores and memory like accelerators", () => {
        const limits = [{ milliCores: 9_000 }, { memoryMb: 17_000 }];
        for (const limit of limits) {
            const use = { maximum: { ...unlimited, ...limit }, used: noResources, stopping: noResources };
            const round = planWithin(new Map([["hotel", use]]), createCandidate("tasks", { taskCount: 5 }));
            assert.deepEqual(placedCounts(round), { tasks: 2 });
        }
    });

    it("starts a gang whole or not at all, and says why it waits", () => {
        const gang = gangOf("gang", 5);
        const round = planWithin(createUses(10, 6), gang);
        assert.deepEqual(placedCounts(round), {});
        const reason = findWaitReason(createRacks(2, 2), gang, new Set(), round.limited);
        assert.equal(reason, WaitReason.CustomerLimit);
    });

    it("keeps what a waiting gang needs from smaller work of its customer, but lets the customer use half", () => {
        const gang = gangOf("gang", 8, { waitingMs: 2_000, priority: 1 });
        const small = createCandidate("small", { priority: 2 });
        assert.deepEqual(placedCounts(planWithin(createUses(10, 5), gang, small)), {});
        assert.deepEqual(placedCounts(planWithin(createUses(10, 4), gang, small)), { small: 1 });
    });

    it("starts nothing while more runs than the limit allows", () => {
        assert.deepEqual(placedCounts(planWithin(createUses(4, 9), createCandidate("task"))), {});
    });

    it("leaves other customers and customers without a limit alone", () => {
        const other = createCandidate("other", { taskCount: 9 });
        other.job.customer = "winery";
        assert.deepEqual(placedCounts(planWithin(createUses(0.5), other)), { other: 9 });
    });

    it("preempts the customer's own runs for a claimed guarantee, and waits for what is being stopped", () => {
        const workers = createRacks(1, 2);
        const running = [0, 1].map(index =>
            addOccupant(workers[index], `running${index}`, { customer: "hotel", priority: 2, lostCoreMs: 10 - index })
        );
        const foreign = addOccupant(workers[0], "foreign", { customer: "winery", priority: 2, lostCoreMs: 1 });
        const candidates = [createCandidate("claiming", { priority: 0, guaranteed: true })];
        const occupants = [...running, foreign];
        const plan = (uses: CustomerUses) =>
            planRound(createRoundInput({ workers, candidates, occupants, customerUses: uses }));
        const round = plan(createUses(2, 2));
        assert.deepEqual(round.evictions, [{ occupant: running[1], forKey: "claiming" }]);
        assert.deepEqual(placedCounts(round), {});
        assert.deepEqual(plan(createUses(2, 2, 1)).evictions, []);
    });

    // guards against urgent work that throws away many times its own work for room below a limit
    it("preempts no run of the customer for urgent work if that loses far more than the urgent work is", () => {
        const workers = createRacks(1, 1);
        const candidates = [createCandidate("urgent", { priority: 0 })];
        const plan = (lostCoreMs: number) => {
            const occupants = [addOccupant(workers[0], "running", { customer: "hotel", priority: 2, lostCoreMs })];
            return planRound(createRoundInput({ workers, candidates, occupants, customerUses: createUses(1, 1) }));
        };
        assert.lengthOf(plan(20_000).evictions, 1);
        assert.lengthOf(plan(30_000).evictions, 0);
    });
});

// guards against a customer that sends many times its usual and delays the others' work of the same urgency
describe("a round under customers' shares", () => {
    const createJobOf = (customer: string, index: number): Candidate => {
        const candidate = createCandidate(`${customer}${index}`, { accelerators: 8, timeToObjectiveMs: 3_000 + index });
        candidate.job.customer = customer;
        return candidate;
    };
    const createShares = (accelerators: number): ShareUses => {
        const used = new Map([["doves", { ...noResources, accelerators }]]);
        return new Map([["hotel", { weight: 1, used }], ["winery", { weight: 1, used: new Map() }]]);
    };

    it("places work within shares first when all is full", () => {
        const candidates = [0, 1, 2, 3, 4].map(index => createJobOf("hotel", index));
        candidates.push(createJobOf("winery", 9));
        const plan = (shareUses = createShares(0)) =>
            planRound(createRoundInput({ workers: createRacks(1, 4), candidates, shareUses }));
        assert.include(Object.keys(placedCounts(plan())), "winery9");
        const unweighted = planRound(createRoundInput({ workers: createRacks(1, 4), candidates }));
        assert.notInclude(Object.keys(placedCounts(unweighted)), "winery9");
    });

    it("leaves nothing idle for a customer that sends nothing", () => {
        const candidates = [0, 1, 2, 3].map(index => createJobOf("hotel", index));
        const input = createRoundInput({ workers: createRacks(1, 4), candidates, shareUses: createShares(32) });
        assert.lengthOf(planRound(input).placements, 4);
    });
});

describe("limits and weights in the platform's configuration", () => {
    const decodeTenant = (tenant: Record<string, unknown>) =>
        decodeConfiguration({ version: 3, tenants: [{ name: "hotel", ...tenant }] });

    it("are decoded, of which 0 and what is missing is no limit", () => {
        const decoded = decodeTenant({ weight: 2, maximum: { cpu: 4_000, gpu: 0 } });
        assert.deepInclude(decoded.ok ? decoded.value.customers[0] : {}, {
            weight: 2,
            maximum: { ...unlimited, milliCores: 4_000 },
        });
        const without = decodeTenant({});
        assert.deepInclude(without.ok ? without.value.customers[0] : {}, { weight: undefined, maximum: undefined });
    });

    // guards against a limit that is lifted since it cannot be read
    it("are refused with tenant, field and value if they cannot be read", () => {
        const tenants = [
            { maximum: { gpu: -1 } },
            { maximum: { "mem-mb": "much" } },
            { maximum: { cpu: 1e300 } },
            { maximum: 7 },
            { weight: -2 },
            { weight: "heavy" },
        ];
        const problems = tenants.map(decodeTenant).map(result => result.ok ? "" : result.error);
        assert.deepEqual(problems, [
            "tenant \"hotel\", maximum.gpu: expected a whole number from 0 up, got -1",
            "tenant \"hotel\", maximum.mem-mb: expected a whole number from 0 up, got \"much\"",
            "tenant \"hotel\", maximum.cpu: expected a whole number from 0 up, got 1e+300",
            "tenant \"hotel\", maximum: expected an object, got 7",
            "tenant \"hotel\", weight: expected a number from 0 up, got -2",
            "tenant \"hotel\", weight: expected a number from 0 up, got \"heavy\"",
        ]);
    });
});

const createLimitedFleet = async (maximum: number): Promise<{ fleet: Fleet; customer: QueueCustomer; }> => {
    const customer: QueueCustomer = {
        name: "hotel",
        apiKeys: ["key-1"],
        guaranteedAccelerators: 0,
        guaranteedUpToPriority: 0,
        guaranteeCoverage: GuaranteeCoverage.WholeDemand,
        maximum: { ...unlimited, accelerators: maximum },
    };
    const fleet = createFleet({ workerCount: 6, configuration: { customers: [customer] } });
    await fleet.timer.advance(1_000);
    return { fleet, customer };
};

const submitTasks = (fleet: Fleet, id: string, taskCount: number, workMs: number): Promise<string> => {
    const step = createStep({ taskCount, estimateMs: workMs });
    return fleet.submit(createSubmission(id, [step], {}, { workMs }));
};

/** Most accelerators in use at a time from a moment on, by what ran on the workers; tasks have two each. */
const peakUse = (fleet: Fleet, fromMs = 0): number => {
    const endOf = (toMs?: number): number => toMs ?? Number.POSITIVE_INFINITY;
    const starts = fleet.spans.map(span => span.fromMs).filter(startMs => startMs >= fromMs);
    return Math.max(
        0,
        ...starts.map(startMs =>
            2 * fleet.spans.filter(({ fromMs: from, toMs }) => from <= startMs && endOf(toMs) > startMs).length
        ),
    );
};

// guards against limits that are exceeded while it is not known what runs
describe("a customer's limit", () => {
    it("holds over several jobs, and is used up", async () => {
        const { fleet } = await createLimitedFleet(10);
        await submitTasks(fleet, "first", 4, 2_000);
        await submitTasks(fleet, "second", 8, 2_000);
        await fleet.timer.advance(12_000);
        assert.equal(peakUse(fleet), 10);
        assert.lengthOf(fleet.spans, 12);
    });

    it("that falls below what runs stops nothing and lets nothing start", async () => {
        const { fleet, customer } = await createLimitedFleet(20);
        await submitTasks(fleet, "long", 10, 6_000);
        await submitTasks(fleet, "waiting", 4, 1_000);
        await fleet.timer.advance(2_000);
        customer.maximum = { ...unlimited, accelerators: 6 };
        fleet.notify();
        await fleet.timer.advance(12_000);
        assert.lengthOf(fleet.spans, 14);
        assert.isAtMost(peakUse(fleet, 3_001), 6);
    });

    it("holds when the planner is killed while starts are unanswered", async () => {
        const { fleet } = await createLimitedFleet(10);
        fleet.orderFault = (_vm, kind) => kind === "start" ? CallFault.LateWithinLease : CallFault.None;
        await submitTasks(fleet, "first", 8, 4_000);
        await fleet.timer.advance(60);
        fleet.killVm(fleet.planner() ?? "");
        fleet.orderFault = () => CallFault.None;
        await fleet.timer.advance(20_000);
        assert.isAtMost(peakUse(fleet), 10);
        assert.lengthOf(new Set(fleet.spans.map(({ task }) => task)), 8);
    });

    it("counts runs on workers that cannot be reached until their leases have expired", async () => {
        const { fleet } = await createLimitedFleet(8);
        await submitTasks(fleet, "first", 4, 30_000);
        await fleet.timer.advance(1_000);
        for (const worker of fleet.workers.values()) {
            worker.unreachable = fleet.spans.some(span => span.worker === worker.descriptor.id);
        }
        await submitTasks(fleet, "second", 4, 1_000);
        await fleet.timer.advance(25_000);
        assert.isAtMost(peakUse(fleet), 8);
    });

    // guards against jobs that wait for ever without a word, and against a refusal of one that is stored and may run
    it("refuses a job that it will never let start, unless the job was accepted before", async () => {
        const { fleet, customer } = await createLimitedFleet(8);
        const configuration = createConfiguration({ customers: [customer] });
        const handle = createFleetCallerHandler(fleet, "vm0", configuration);
        const submitGang = async (id: string, count: number): Promise<number> => {
            const answered = handle({
                method: "POST",
                path: `/bookings/${id}`,
                headers: { host: "doves.example", authorization: "Bearer key-1" },
                query: new URLSearchParams(),
                body: { spec: "", steps: [{ count, gpu: 2, "estimate-ms": 1_000, gang: true }] },
                callerGone: new AbortController().signal,
            });
            await fleet.timer.advance(100);
            return (await answered).status;
        };
        assert.equal(await submitGang("00000000000000a1", 4), 200);
        assert.equal(await submitGang("00000000000000a2", 5), 429);
        customer.maximum = { ...unlimited, accelerators: 6 };
        assert.equal(await submitGang("00000000000000a1", 4), 200);
        await fleet.timer.advance(5_000);
        assert.notInclude([...fleet.spans.map(({ task }) => task.slice(0, 16))], "00000000000000a2");
    });
});
