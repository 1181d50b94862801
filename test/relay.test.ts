import { assert } from "chai";
import { createRelayedTable } from "../src/state/relay.js";
import type { RelayedTable, RelayPeer } from "../src/state/relay.js";
import { StateErrorKind } from "../src/state/types.js";
import type { StateTable } from "../src/state/types.js";
import { fail, succeed } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { createTableModel } from "../standins/fleet/tableModel.js";

const unavailable = fail({ kind: StateErrorKind.Unavailable as const, detail: "cut" });

interface Vm {
    table: RelayedTable;
    /** Parts that it cannot reach itself. */
    cutParts: Set<string>;
    calls: number;
}

const createVms = () => {
    const timer = createVirtualTimer();
    const model = createTableModel();
    const vms = new Map<string, Vm>();
    const createVm = (name: string): Vm => {
        const vm: Partial<Vm> & { cutParts: Set<string>; calls: number; } = { cutParts: new Set(), calls: 0 };
        const reach = <Value>(part: string, value: () => Value) => {
            vm.calls += 1;
            return vm.cutParts.has(part) ? unavailable : succeed(value());
        };
        const direct: StateTable = {
            commit: async transaction => {
                const reached = reach(transaction.part, () => model.commit(transaction));
                return reached.ok ? reached.value : reached;
            },
            read: async range => reach(range.part, () => model.read(range)),
            changes: async (table, after) =>
                reach("", () => model.changes(table, after) ?? { rows: [], version: after }),
        };
        const peers = (): RelayPeer[] =>
            [...vms].filter(([other]) => other !== name).map(([other, peer]) => ({
                name: other,
                perform: request => peer.table.performFor(request),
            }));
        vm.table = createRelayedTable({ direct, timer, log: () => {}, peers });
        vms.set(name, vm as Vm);
        return vm as Vm;
    };
    return { timer, createVm };
};

const write = (vm: Vm, part: string) =>
    vm.table.commit({ part, conditions: [], writes: [{ table: "jobs", key: "k", value: 1 }] });

describe("a VM that is cut from the table", () => {
    it("reads and writes through one that is not", async () => {
        const { createVm } = createVms();
        const cut = createVm("a");
        createVm("b");
        cut.cutParts.add("p0");
        assert.isTrue((await write(cut, "p0")).ok);
        const read = await cut.table.read({ table: "jobs", part: "p0" });
        assert.isTrue(read.ok && read.value.rows.length === 1);
    });

    it("goes its own way for the parts that it reaches", async () => {
        const { createVm } = createVms();
        const cut = createVm("a");
        const other = createVm("b");
        cut.cutParts.add("p0");
        await write(cut, "p0");
        const before = other.calls;
        await write(cut, "p1");
        assert.equal(other.calls, before);
    });

    it("goes its own way again soon after it is open", async () => {
        const { timer, createVm } = createVms();
        const cut = createVm("a");
        const other = createVm("b");
        cut.cutParts.add("p0");
        await write(cut, "p0");
        cut.cutParts.clear();
        await timer.advance(1_000);
        const before = other.calls;
        await write(cut, "p0");
        assert.equal(other.calls, before);
    });

    it("gives up at once and asks nobody in vain while the table is down for all", async () => {
        const { createVm } = createVms();
        const vms = ["a", "b", "c"].map(createVm);
        vms.forEach(vm => vm.cutParts.add("p0"));
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

    it("stays in doubt about a write that got no answer on one of the ways", async () => {
        const timer = createVirtualTimer();
        const lost = fail({ kind: StateErrorKind.NoAnswer as const, detail: "lost" });
        const direct: StateTable = { commit: async () => lost, read: async () => lost, changes: async () => lost };
        const peers = (): RelayPeer[] => [{ name: "b", perform: async () => unavailable }];
        const table = createRelayedTable({ direct, timer, log: () => {}, peers });
        const written = await table.commit({ part: "p0", conditions: [], writes: [] });
        assert.isTrue(!written.ok && written.error.kind === StateErrorKind.NoAnswer);
    });
});
