import { assert } from "chai";
import { createRelayedTable } from "../src/state/relay.js";
import type { RelayedTable, RelayPeer } from "../src/state/relay.js";
import { StateErrorKind } from "../src/state/types.js";
import type { ReadRange, StateError, StateTable, StateTransaction } from "../src/state/types.js";
import { fail, succeed } from "../src/utils/result.js";
import type { Result } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import type { VirtualTimer } from "../src/utils/virtualTimer.js";
import { createTableModel } from "../standins/fleet/tableModel.js";
import type { TableModel } from "../standins/fleet/tableModel.js";

const unavailable = fail({ kind: StateErrorKind.Unavailable as const, detail: "unreachable" });

interface Vm {
    table: RelayedTable;
    /** Parts that it cannot reach directly. */
    unreachableParts: Set<string>;
    /** Operations that it attempted directly. */
    calls: number;
}

const createVms = () => {
    const timer = createVirtualTimer();
    const model = createTableModel();
    const vms = new Map<string, Vm>();
    const createVm = (name: string): Vm => {
        const vm: Partial<Vm> & { unreachableParts: Set<string>; calls: number; } = {
            unreachableParts: new Set(),
            calls: 0,
        };
        const performIfReachable = <Value>(part: string, value: () => Value) => {
            vm.calls += 1;
            return vm.unreachableParts.has(part) ? unavailable : succeed(value());
        };
        const direct: StateTable = {
            commit: async transaction => {
                const reached = performIfReachable(transaction.part, () => model.commit(transaction));
                return reached.ok ? reached.value : reached;
            },
            read: async range => performIfReachable(range.part, () => model.read(range)),
            changes: async (table, after) =>
                performIfReachable("", () => model.changes(table, after) ?? { rows: [], version: after }),
        };
        const peers = (): RelayPeer[] =>
            [...vms].filter(([other]) => other !== name).map(([other, peer]) => ({
                name: other,
                perform: request => peer.table.performForPeer(request),
            }));
        vm.table = createRelayedTable({ direct, timer, log: () => {}, peers });
        vms.set(name, vm as Vm);
        return vm as Vm;
    };
    return { timer, createVm };
};

const write = (vm: Vm, part: string) =>
    vm.table.commit({ part, conditions: [], writes: [{ table: "jobs", key: "k", value: 1 }] });

describe("a VM that cannot reach the table directly", () => {
    it("reads and writes through a VM that can", async () => {
        const { createVm } = createVms();
        const vm = createVm("a");
        createVm("b");
        vm.unreachableParts.add("p0");
        assert.isTrue((await write(vm, "p0")).ok);
        const read = await vm.table.read({ table: "jobs", part: "p0" });
        assert.isTrue(read.ok && read.value.rows.length === 1);
    });

    it("accesses the parts that it can reach without a relay", async () => {
        const { createVm } = createVms();
        const vm = createVm("a");
        const other = createVm("b");
        vm.unreachableParts.add("p0");
        await write(vm, "p0");
        const before = other.calls;
        await write(vm, "p1");
        assert.equal(other.calls, before);
    });

    it("returns to direct access soon after a part is reachable again", async () => {
        const { timer, createVm } = createVms();
        const vm = createVm("a");
        const other = createVm("b");
        vm.unreachableParts.add("p0");
        await write(vm, "p0");
        vm.unreachableParts.clear();
        await timer.advance(1_000);
        const before = other.calls;
        await write(vm, "p0");
        assert.equal(other.calls, before);
    });

    it("fails at once, without further attempts by any VM, while no VM can reach the table", async () => {
        const { createVm } = createVms();
        const vms = ["a", "b", "c"].map(createVm);
        vms.forEach(vm => vm.unreachableParts.add("p0"));
        for (const vm of vms) {
            await write(vm, "p0");
        }
        const before = vms.reduce((sum, vm) => sum + vm.calls, 0);
        for (let index = 0; index < 20; index++) {
            const written = await write(vms[0], "p0");
            assert.isTrue(!written.ok && written.error.kind === StateErrorKind.Unavailable);
        }
        assert.equal(vms.reduce((sum, vm) => sum + vm.calls, 0), before);
    });

    it("reports an unknown outcome for a write that got no answer directly, even if a peer refuses it", async () => {
        const timer = createVirtualTimer();
        const lost = fail({ kind: StateErrorKind.NoAnswer as const, detail: "lost" });
        const direct: StateTable = { commit: async () => lost, read: async () => lost, changes: async () => lost };
        const peers = (): RelayPeer[] => [{ name: "b", perform: async () => unavailable }];
        const table = createRelayedTable({ direct, timer, log: () => {}, peers });
        const written = await table.commit({ part: "p0", conditions: [], writes: [] });
        assert.isTrue(!written.ok && written.error.kind === StateErrorKind.NoAnswer);
    });
});

/** A table whose operations get no answer while `isSilent` says so, as when packets are lost on the way to it. */
const createSilenceableTable = (timer: VirtualTimer, model: TableModel, isSilent: () => boolean): StateTable => {
    const timeoutMs = 1_200;
    const answer = async <Value>(value: () => Result<Value, StateError>): Promise<Result<Value, StateError>> => {
        if (isSilent()) {
            await timer.sleep(timeoutMs);
            return fail({ kind: StateErrorKind.NoAnswer, detail: "silent" });
        }
        await timer.sleep(4);
        return value();
    };
    return {
        commit: transaction => answer(() => model.commit(transaction)),
        read: range => answer(() => succeed(model.read(range))),
        changes: (table, after) => answer(() => succeed(model.changes(table, after) ?? { rows: [], version: after })),
    };
};

const silentPeer = (timer: VirtualTimer, name: string): RelayPeer => ({
    name,
    perform: async () => {
        await timer.sleep(1_400);
        return fail({ kind: StateErrorKind.NoAnswer, detail: "silent" });
    },
});

/** Resolves with the result of a call and the virtual time that it took, to a resolution of 10 ms. */
const timed = async <Value>(timer: VirtualTimer, call: Promise<Value>): Promise<{ value: Value; tookMs: number; }> => {
    const startedAtMs = timer.nowMs();
    let outcome: { value: Value; tookMs: number; } | undefined;
    void call.then(value => outcome = { value, tookMs: timer.nowMs() - startedAtMs });
    while (outcome === undefined) {
        await timer.advance(10);
    }
    return outcome;
};

/** A VM whose only peer commits to `peerTable`; counts the operations that the peer was asked for. */
const createTableBeside = (timer: VirtualTimer, direct: StateTable, peerTable: StateTable) => {
    const counts = { relayed: 0 };
    const table = createRelayedTable({
        direct,
        timer,
        log: () => {},
        peers: () => [{
            name: "b",
            perform: request => {
                counts.relayed += 1;
                return peerTable.commit((request as { transaction: StateTransaction; }).transaction);
            },
        }],
    });
    return { table, counts };
};

const allParts = Array.from({ length: 16 }, (_, index) => `p${index}`);

/** A table that commits only after `commitMs`. */
const createSlowTable = (timer: VirtualTimer, model: TableModel, commitMs: number): StateTable => ({
    ...createSilenceableTable(timer, model, () => false),
    commit: async transaction => {
        await timer.sleep(commitMs);
        return model.commit(transaction);
    },
});

describe("a VM whose operations on the table get no answer", () => {
    const commit = (table: StateTable, part: string) =>
        table.commit({ part, conditions: [], writes: [{ table: "jobs", key: "k", value: 1 }] });

    it("writes to every part through a peer well before its own attempt has timed out", async () => {
        const timer = createVirtualTimer();
        const model = createTableModel();
        const { table } = createTableBeside(
            timer,
            createSilenceableTable(timer, model, () => true),
            createSilenceableTable(timer, model, () => false),
        );
        for (const part of ["p0", "p1", "p0"]) {
            const { value, tookMs } = await timed(timer, commit(table, part));
            assert.isTrue(value.ok);
            assert.isAtMost(tookMs, 300);
        }
    });

    it("does not wait for a silent peer while another one answers", async () => {
        const timer = createVirtualTimer();
        const model = createTableModel();
        const reachableTable = createSilenceableTable(timer, model, () => false);
        const table = createRelayedTable({
            direct: createSilenceableTable(timer, model, () => true),
            timer,
            log: () => {},
            peers: () => [
                silentPeer(timer, "b"),
                { name: "c", perform: request => reachableTable.read((request as { range: ReadRange; }).range) },
            ],
        });
        const { value, tookMs } = await timed(timer, table.read({ table: "jobs", part: "p0" }));
        assert.isTrue(value.ok);
        assert.isAtMost(tookMs, 500);
    });

    it("gets the changes as soon as the table is reachable again, whatever its peers do", async () => {
        const timer = createVirtualTimer();
        const model = createTableModel();
        let reset = true;
        const reachableTable = createSilenceableTable(timer, model, () => false);
        const direct: StateTable = {
            ...reachableTable,
            read: async range => reset ? unavailable : reachableTable.read(range),
            changes: async (name, after, waitMs) => reset ? unavailable : reachableTable.changes(name, after, waitMs),
        };
        const peers = [silentPeer(timer, "b"), silentPeer(timer, "c")];
        const table = createRelayedTable({ direct, timer, log: () => {}, peers: () => peers });
        timer.after(100, () => reset = false);
        const { value, tookMs } = await timed(timer, table.changes("jobs", 0, 500));
        assert.isTrue(value.ok);
        assert.isAtMost(tookMs, 700);
    });

    it("repeats few operations while the table is slow for every VM", async () => {
        const timer = createVirtualTimer();
        const slowTable = createSlowTable(timer, createTableModel(), 250);
        const { table, counts } = createTableBeside(timer, slowTable, slowTable);
        for (let index = 0; index < 40; index++) {
            await timed(timer, commit(table, "p0"));
            await timer.advance(100);
        }
        assert.isAtMost(counts.relayed, 10);
    });

    it("repeats few of the operations in progress when the table becomes slow for every VM", async () => {
        const timer = createVirtualTimer();
        const slowTable = createSlowTable(timer, createTableModel(), 400);
        const { table, counts } = createTableBeside(timer, slowTable, slowTable);
        await timed(timer, Promise.all(allParts.map(part => commit(table, part))));
        assert.isAtMost(counts.relayed, 4);
    });

    it("refuses nothing while the table is only slow, for every VM", async () => {
        const timer = createVirtualTimer();
        const slowTable = createSlowTable(timer, createTableModel(), 400);
        const vms = new Map<string, RelayedTable>();
        for (const name of ["a", "b", "c"]) {
            const peers = (): RelayPeer[] =>
                [...vms].filter(([other]) => other !== name).map(([other, vm]) => ({
                    name: other,
                    perform: request => vm.performForPeer(request),
                }));
            vms.set(name, createRelayedTable({ direct: slowTable, timer, log: () => {}, peers }));
        }
        const writes: ReturnType<typeof commit>[] = [];
        for (let index = 0; index < 10; index++) {
            vms.forEach(vm => writes.push(commit(vm, "p0")));
            await timer.advance(70);
        }
        const { value } = await timed(timer, Promise.all(writes));
        assert.isTrue(value.every(written => written.ok));
    });

    it("writes to all parts at once through a peer soon after its way was cut", async () => {
        const timer = createVirtualTimer();
        const model = createTableModel();
        const { table } = createTableBeside(
            timer,
            createSilenceableTable(timer, model, () => true),
            createSilenceableTable(timer, model, () => false),
        );
        const { value, tookMs } = await timed(timer, Promise.all(allParts.map(part => commit(table, part))));
        assert.isTrue(value.every(written => written.ok));
        assert.isAtMost(tookMs, 900);
    });

    // guards against reads that are refused at once although the table has answered since it was silent
    it("keeps using the table that answers again when operations fail that were sent before", async () => {
        const timer = createVirtualTimer();
        let isSilent = true;
        const direct = createSilenceableTable(timer, createTableModel(), () => isSilent);
        const table = createRelayedTable({ direct, timer, log: () => {}, peers: () => [] });
        const read = () => table.read({ table: "jobs", part: "p0" });
        for (let sent = 0; sent < 3; sent++) {
            void read();
            await timer.advance(400);
        }
        isSilent = false;
        // the first read fails and a probe is answered, then the others fail
        const results: Result<unknown, StateError>[] = [];
        await timer.advance(300);
        for (let index = 0; index < 10; index++) {
            results.push((await timed(timer, read())).value);
            await timer.advance(50);
        }
        assert.deepEqual(results.filter(result => !result.ok), []);
    });

    it("probes all parts when one of them has recovered, without a burst of probes", async () => {
        const timer = createVirtualTimer();
        const model = createTableModel();
        let down = true;
        let reads = 0;
        const reachableTable = createSilenceableTable(timer, model, () => false);
        const direct: StateTable = {
            ...reachableTable,
            commit: async transaction => down ? unavailable : reachableTable.commit(transaction),
            read: async range => {
                reads += 1;
                return down ? unavailable : reachableTable.read(range);
            },
        };
        const table = createRelayedTable({ direct, timer, log: () => {}, peers: () => [] });
        const parts = Array.from({ length: 20 }, (_, index) => `p${index}`);
        await Promise.all(parts.map(part => commit(table, part)));
        down = false;
        reads = 0;
        await timer.advance(600);
        assert.isAtMost(reads, 2 * parts.length);
        assert.isTrue((await timed(timer, commit(table, "p19"))).value.ok);
    });
});

// guards against operations that are refused although the own way has just answered
describe("a VM whose way to the table has recovered", () => {
    it("keeps its way open when operations that began before the recovery are answered on new connections", async () => {
        const timer = createVirtualTimer();
        const silentMs = 1_200;
        let isSilent = true;
        const direct: StateTable = {
            read: async () => {
                if (isSilent) {
                    await timer.sleep(silentMs);
                    return fail({ kind: StateErrorKind.NoAnswer as const, detail: "silent" });
                }
                await timer.sleep(5);
                return succeed({ rows: [], version: 1 });
            },
            commit: async () => unavailable,
            changes: async () => unavailable,
        };
        const table = createRelayedTable({ direct, timer, log: () => {}, peers: () => [] });
        const read = () => table.read({ table: "jobs", part: "p0" });
        void read();
        await timer.advance(silentMs - 100);
        // it is in progress when the first one fails, and when the way recovers
        const later = read();
        await timer.advance(150);
        isSilent = false;
        // the next probe has answered, and with it the later read
        await timer.advance(270);
        assert.isTrue((await later).ok);
        const next = read();
        await timer.advance(20);
        assert.isTrue((await next).ok);
    });
});
