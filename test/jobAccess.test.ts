import { assert } from "chai";
import { Cancellation } from "../src/jobs/commands/cancelStoredJob.js";
import type { JobAccess } from "../src/jobs/jobAccess.js";
import { JobPhase } from "../src/jobs/types.js";
import type { EntryVm } from "../src/node/entryVm.js";
import { GuaranteeCoverage } from "../src/queues/types.js";
import type { QueueConfiguration } from "../src/queues/types.js";
import type { JsonRequest } from "../src/utils/http.js";
import { createFleetCallerHandler } from "./fixtures/callerHandler.js";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import { createConfiguration } from "./fixtures/queueConfiguration.js";

const jobId = "00000000000000a1";

const createCustomer = (name: string) => ({
    name,
    apiKeys: [`key-${name}`],
    guaranteedAccelerators: 0,
    guaranteedUpToPriority: 0,
    guaranteeCoverage: GuaranteeCoverage.WholeDemand,
});

const createQueues = (isPublic: boolean): Partial<QueueConfiguration> => ({
    customers: [createCustomer("hotel"), createCustomer("winery")],
    queues: [
        ...createConfiguration().queues.map(queue => ({ ...queue, isPublic })),
        ...createConfiguration().queues.map(queue => ({
            ...queue,
            name: "other",
            pathPrefix: "/other/",
            isPublic: true,
        })),
    ],
});

/** A VM with a running job of the hotel in the queue of bookings; answers calls with the state of the job or a status. */
const createVmWithJob = async (isPublic = false) => {
    const configuration = createConfiguration(createQueues(isPublic));
    const fleet = createFleet({ vmCount: 1, configuration });
    await fleet.timer.advance(1_000);
    const submission = createSubmission(jobId, [createStep()], { customer: "hotel", queue: "bookings" }, {
        workMs: 60_000,
    });
    await fleet.submit(submission);
    await fleet.timer.advance(500);
    const vm = fleet.vms.get("vm0") as EntryVm;
    const handle = createFleetCallerHandler(fleet, "vm0", configuration);
    const call = async (method: string, key: string | undefined, prefix = "/bookings/"): Promise<unknown> => {
        const headers = { host: "doves.example", ...(key === undefined ? {} : { authorization: `Bearer ${key}` }) };
        const answered = handle(
            { method, path: `${prefix}${jobId}`, headers, body: undefined } as unknown as JsonRequest,
        );
        await fleet.timer.advance(50);
        const { status, body } = await answered;
        return status === 200 ? (body as { state?: string; }).state ?? status : status;
    };
    return { fleet, vm, call };
};

// guards against API keys and public queues that gave access to the jobs of other customers
describe("a job of a customer", () => {
    it("can be read and cancelled with a key of its customer alone", async () => {
        const { call } = await createVmWithJob();
        assert.equal(await call("GET", "key-hotel"), JobPhase.Running);
        assert.equal(await call("GET", "key-winery"), 410);
        assert.equal(await call("DELETE", "key-winery"), 410);
        assert.equal(await call("GET", "key-hotel"), JobPhase.Running);
        assert.equal(await call("DELETE", "key-hotel"), 200);
        assert.equal(await call("GET", "key-hotel"), JobPhase.Cancelled);
    });

    it("cannot be reached through another queue that is public", async () => {
        const { call } = await createVmWithJob();
        assert.equal(await call("GET", undefined, "/other/"), 410);
        assert.equal(await call("DELETE", undefined, "/other/"), 410);
        assert.equal(await call("GET", "key-hotel", "/other/"), JobPhase.Running);
    });

    it("can be reached by all if its own queue is public", async () => {
        const { call } = await createVmWithJob(true);
        assert.equal(await call("GET", undefined), JobPhase.Running);
        assert.equal(await call("DELETE", undefined), 200);
    });

    it("is read from the cache by its customer alone while the table is unavailable", async () => {
        const { fleet, vm, call } = await createVmWithJob();
        assert.equal(await call("GET", "key-hotel"), JobPhase.Running);
        fleet.tableDown = true;
        const read = async (access: JobAccess): Promise<unknown> => {
            const phase = vm.phase(jobId, { access });
            await fleet.timer.advance(50);
            return phase;
        };
        assert.equal(await read({ customer: "hotel" }), JobPhase.Running);
        assert.equal(await read({ customer: "winery" }), "unavailable");
        const cancelled = vm.cancel(jobId, { access: { customer: "winery" } });
        await fleet.timer.advance(50);
        assert.equal(await cancelled, Cancellation.Unavailable);
    });
});
