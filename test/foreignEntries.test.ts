import { assert } from "chai";
import { createWorkerDirectory, decodeWorker, workersTable } from "../platform/servers.js";
import { createWorkerClient } from "../platform/workers.js";
import { createEntryMetrics } from "../src/node/entryMetrics.js";
import { createPeerDirectory } from "../src/state/peerDirectory.js";
import { isRelayReply, isRelayRequest } from "../src/state/relayMessages.js";
import type { StateTable } from "../src/state/types.js";
import { succeed } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { createTableModel } from "../standins/fleet/tableModel.js";
import { createFleet, createStep, createSubmission } from "./fixtures/fleet.js";
import { startPlatformProcesses, waitUntil } from "./fixtures/platformProcesses.js";
import { createWorkerEntry } from "./fixtures/workerEntry.js";

const capacityWith = (fields: Record<string, unknown>) => ({ capacity: { cpu: 1, "mem-mb": 1, gpu: 1, ...fields } });

const malformedEntries: readonly Record<string, unknown>[] = [
    { address: "127.0.0.1:99999" },
    { address: "127.0.0.1:0" },
    { address: "999.1.1.1:80" },
    { address: "127.0.0.1" },
    { address: 8080 },
    { service: undefined },
    { state: "elsewhere" },
    { born: -1 },
    { born: 1.5 },
    { born: 1e300 },
    { born: "1000" },
    capacityWith({ cpu: -1 }),
    capacityWith({ "mem-mb": -1 }),
    capacityWith({ gpu: -1 }),
    capacityWith({ gpu: "8" }),
    { capacity: [] },
];

const createTable = () => {
    const model = createTableModel();
    const state: StateTable = {
        commit: async transaction => model.commit(transaction),
        read: async range => succeed(model.read(range)),
        changes: async (table, after) => succeed(model.changes(table, after) ?? { rows: [], version: after }),
    };
    const write = (table: string, key: string, value: unknown) =>
        model.commit({ part: "", conditions: [], writes: [{ table, key, value }] });
    return { state, write };
};

describe("an entry of another writer in the table of workers", () => {
    for (const overrides of malformedEntries) {
        it(`names no worker with ${JSON.stringify(overrides)}`, () => {
            assert.isUndefined(decodeWorker("i-1", createWorkerEntry(overrides), 0));
        });
    }

    for (const id of ["", "i\n1", "i\u0000", "\ud800"]) {
        it(`names no worker under the key ${JSON.stringify(id)}`, () => {
            assert.isUndefined(decodeWorker(id, createWorkerEntry(), 0));
        });
    }

    it("is logged once, however often it is written", async () => {
        const timer = createVirtualTimer();
        const { state, write } = createTable();
        const lines: string[] = [];
        write(workersTable, "i-good", createWorkerEntry());
        const directory = createWorkerDirectory(state, timer, (_level, message) => lines.push(message));
        directory.start();
        for (let sequence = 1; sequence <= 5; sequence++) {
            write(workersTable, "i-bad", createWorkerEntry({ address: "127.0.0.1:99999", sequence }));
            await timer.advance(1_500);
        }
        directory.stop();
        assert.lengthOf(lines.filter(message => message === "entry names no worker to use"), 1);
    });

    it("of a service that the configuration does not name gets no orders", async () => {
        const fleet = createFleet({ workerCount: 2, configuration: { services: ["doves"] } });
        const foreign = fleet.addWorker("inventory-Łódź-1");
        foreign.descriptor = { ...foreign.descriptor, service: "inventory" };
        const called = new Set<string>();
        fleet.orderFault = (_vm, _kind, workerId) => {
            called.add(workerId);
            if (workerId === foreign.descriptor.id) {
                throw new TypeError("invalid character in header content");
            }
            return "none" as never;
        };
        await fleet.timer.advance(1_000);
        await fleet.submit(createSubmission("a1", [createStep()]));
        await fleet.timer.advance(3_000);
        assert.notInclude([...called], foreign.descriptor.id);
        assert.lengthOf(fleet.spans, 1);
    });

    // guards against planners that ended whenever they read an entry to which no order could be sent
    it("does not end the planner's process nor keep accepted jobs from running", async function() {
        this.timeout(30_000);
        const processes = await startPlatformProcesses();
        try {
            const vm = await processes.startVm("a");
            const entries: [key: string, overrides: Record<string, unknown>][] = [
                ["inventory-Łódź-1", { service: "inventory" }],
                ["doves-Łódź-2", {}],
                ["doves-3", { address: "127.0.0.1:99999" }],
                ["doves\n4", {}],
                ["doves-5", { address: "127.0.0.1:1", labels: [null, 7] }],
            ];
            for (const [key, overrides] of entries) {
                await processes.writeRow("servers", key, createWorkerEntry({ address: "127.0.0.1:1", ...overrides }));
            }
            await processes.writeRow("vms", "elsewhere", { address: "127.0.0.1:99999", cores: -4 });
            const id = "5c0e7a21d94b36f8";
            const body = { spec: JSON.stringify({ workMs: 200 }), steps: [{ count: 2, cpu: 1_000, "mem-mb": 256 }] };
            assert.equal((await processes.request(vm, "POST", `/bookings/${id}`, { body })).status, 200);
            await waitUntil(
                async () => {
                    const answer = await processes.request(vm, "GET", `/bookings/${id}`);
                    return (answer.body as { state?: string; }).state === "succeeded";
                },
                10_000,
                "the job has succeeded",
            );
            const messages = vm.lines.map(line => line.message);
            assert.lengthOf(messages.filter(message => message === "started"), 1, "the process was not restarted");
            assert.notInclude(messages, "unexpected error");
        }
        finally {
            await processes.stop();
        }
    });
});

describe("an order that cannot be sent", () => {
    for (
        const [id, address] of [["i-\n1", "127.0.0.1:1"], ["i-1", "127.0.0.1:99999"], [
            "i-Łódź",
            "127.0.0.1:1",
        ]] as const
    ) {
        it(`to ${JSON.stringify(id)} at ${address} has no answer and throws nothing`, async () => {
            const descriptor = decodeWorker("i-1", createWorkerEntry(), 0);
            assert.isDefined(descriptor);
            const client = createWorkerClient({ ...descriptor!, id, address }, createEntryMetrics(), () => 0);
            const held = await client.hold({ fencingToken: 1, acknowledged: 0 });
            client.close();
            assert.isTrue(!held.ok && held.error.kind === "noAnswer");
        });
    }
});

describe("a worker whose orders fail unexpectedly", () => {
    it("does not keep jobs from running on the others", async () => {
        const fleet = createFleet({ workerCount: 2, vmCount: 2 });
        fleet.orderFault = (_vm, _kind, workerId) => {
            if (workerId === "w0") {
                throw new RangeError("unexpected");
            }
            return "none" as never;
        };
        await fleet.timer.advance(1_000);
        await fleet.submit(createSubmission("a1", [createStep({ taskCount: 4 })]));
        await fleet.timer.advance(4_000);
        assert.deepEqual(fleet.spans.map(({ worker, kind }) => [worker, kind]), Array(4).fill(["w1", "done"]));
    });
});

describe("a row of another writer in the table of VMs", () => {
    it("names no VM to call, does not weaken this one and is logged once", async () => {
        const timer = createVirtualTimer();
        const { state, write } = createTable();
        const lines: string[] = [];
        const foreignRows = [
            { address: "127.0.0.1:99999", cores: 1 },
            { address: "127.0.0.1:80", cores: -1 },
            { address: "127.0.0.1:80", cores: 1e9 },
            { address: "127.0.0.1:80" },
            null,
            "text",
        ];
        foreignRows.forEach((value, index) => write("vms", `foreign-${index}`, value));
        write("vms", "b", { address: "127.0.0.1:80", cores: 1 });
        const self = { name: "a", address: "10.0.0.1:1", cores: 1 };
        const directory = createPeerDirectory(state, timer, (_level, message) => lines.push(message), self);
        await timer.advance(16_000);
        assert.deepEqual(directory.others().map(({ name }) => name), ["b"]);
        assert.equal(directory.relativePower(), 1);
        assert.lengthOf(lines.filter(message => message === "entry names no VM to call"), foreignRows.length);
    });
});

describe("a message between VMs", () => {
    const tables = new Set(["jobs"]);
    const write = { table: "jobs", key: "k", value: 1 };

    for (
        const body of [
            undefined,
            null,
            [],
            "commit",
            { operation: "drop" },
            { operation: "commit" },
            { operation: "commit", transaction: { part: "", conditions: [], writes: [] } },
            { operation: "commit", transaction: { part: 1, conditions: [], writes: [write] } },
            { operation: "commit", transaction: { part: "", conditions: [null], writes: [write] } },
            { operation: "commit", transaction: { part: "", conditions: [], writes: [{ ...write, table: "x" }] } },
            { operation: "read", range: { table: "x", part: "" } },
            { operation: "read", range: { table: "jobs", part: "", from: 1 } },
            { operation: "changes", table: "jobs", afterVersion: -1, waitMs: 0 },
            { operation: "changes", table: "jobs", afterVersion: 1, waitMs: -1 },
            { operation: "changes", table: "jobs", afterVersion: 1, waitMs: 1e9 },
        ]
    ) {
        it(`is no request with ${JSON.stringify(body)}`, () => {
            assert.isFalse(isRelayRequest(body, tables));
        });
    }

    it("is a request with each of the operations that VMs relay", () => {
        const transaction = { part: "p0", conditions: [{ table: "jobs", key: "k", version: 0 }], writes: [write] };
        assert.isTrue(isRelayRequest({ operation: "commit", transaction }, tables));
        assert.isTrue(isRelayRequest({ operation: "read", range: { table: "jobs", part: "", from: "a" } }, tables));
        assert.isTrue(isRelayRequest({ operation: "changes", table: "jobs", afterVersion: 0, waitMs: 500 }, tables));
    });

    for (const rows of [[null], ["row"], [{ table: "jobs", part: "", key: "k" }], [{ table: "jobs", version: 1 }]]) {
        it(`is no reply with the rows ${JSON.stringify(rows)}`, () => {
            const request = { operation: "read" as const, range: { table: "jobs", part: "" } };
            assert.isFalse(isRelayReply({ ok: true, value: { version: 1, rows } }, request));
            assert.isFalse(isRelayReply({ ok: false, error: { kind: "conflict", rows } }, request));
        });
    }
});
