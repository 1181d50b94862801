import { assert } from "chai";
import { createPeerDirectory } from "../src/state/peerDirectory.js";
import type { StateTable, StateTransaction } from "../src/state/types.js";
import { succeed } from "../src/utils/result.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";
import { createTableModel } from "../standins/fleet/tableModel.js";

const refreshMs = 5_100;

const createDirectories = () => {
    const timer = createVirtualTimer();
    const model = createTableModel();
    const commits: StateTransaction[] = [];
    const state: StateTable = {
        commit: async transaction => {
            commits.push(transaction);
            return model.commit(transaction);
        },
        read: async range => succeed(model.read(range)),
        changes: async (table, after) => succeed(model.changes(table, after) ?? { rows: [], version: after }),
    };
    const start = (name: string, port: number) =>
        createPeerDirectory(state, timer, () => {}, { name, address: `10.0.0.1:${port}`, cores: 1 });
    return { timer, model, commits, start };
};

describe("a VM in the directory of peers", () => {
    it("registers again when the deregistration of its earlier process arrives late", async () => {
        const { timer, model, commits, start } = createDirectories();
        const other = start("b", 2);
        await start("a", 1).deregister();
        const deregistration = commits.at(-1);
        assert.isDefined(deregistration);
        start("a", 3);
        await timer.advance(refreshMs);
        model.commit(deregistration!);
        await timer.advance(3 * refreshMs);
        assert.deepEqual(other.others().map(({ name, address }) => [name, address]), [["a", "10.0.0.1:3"]]);
    });

    it("registers its own address when a registration of its earlier process arrives late", async () => {
        const { timer, model, commits, start } = createDirectories();
        const other = start("b", 2);
        start("a", 1).stop();
        await timer.advance(1);
        const registration = commits.find(({ writes }) => writes[0].key === "a");
        assert.isDefined(registration);
        start("a", 3);
        await timer.advance(refreshMs);
        model.commit(registration!);
        await timer.advance(3 * refreshMs);
        assert.deepEqual(other.others().map(({ address }) => address), ["10.0.0.1:3"]);
    });

    it("does not register again while its registration stands, nor after it has deregistered", async () => {
        const { timer, commits, start } = createDirectories();
        const directory = start("a", 1);
        await timer.advance(3 * refreshMs);
        assert.lengthOf(commits, 1);
        await directory.deregister();
        await timer.advance(3 * refreshMs);
        assert.lengthOf(commits, 2);
    });
});
