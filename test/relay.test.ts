import { assert } from "chai";
import { createRelayedTable } from "../src/state/relay.js";
import type { RelayedTable, RelayPeer } from "../src/state/relay.js";
import { StateErrorKind } from "../src/state/types.js";
import type { StateTable } from "../src/state/types.js";
import { fail, succeed } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { createTableModel } from "../standins/fleet/tableModel.js";

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
