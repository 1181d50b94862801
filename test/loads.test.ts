import { assert } from "chai";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { readLoad } from "../bench/experiment/readLoad.js";
import { replayLoad } from "../bench/experiment/replayLoad.js";
import type { Replay } from "../bench/experiment/replayLoad.js";

const loadFolder = fileURLToPath(new URL("../../bench/loads", import.meta.url));
/** Work of others that an urgent job without a guarantee may cost, as a multiple of its own. */
const maxLostWorkFactor = 2;
/** Aim for urgent work on a fleet that can make room for it at little loss. */
const minUrgentShare = 0.9;
/** Bound on the time from the end of an outage of the table until every local copy is current again. */
const recoveryMs = 500;
/** Longest objective in the load: three times a declared time of up to 1.3 times 15 s, and 1 s. */
const longestObjectiveMs = 3 * 1.3 * 15_000 + 1_000;
/** Longest time between two judgements of the load: the interval of rounds and that of judgements. */
const judgedAfterMs = 300;

const replay = async (name: string, seed: number): Promise<Replay> => {
    const load = readLoad(join(loadFolder, `${name}.jsonc`));
    assert.isTrue(load.ok, load.ok ? "" : load.error);
    return load.ok ? replayLoad(load.value, seed) : assert.fail();
};

describe("under a replayed load", () => {
    it("urgent jobs without a guarantee lose at most twice their own work on a full fleet", async () => {
        const replays = await Promise.all([1, 2, 3].map(seed => replay("urgentOnFullFleet", seed)));
        const preemptions = replays
            .flatMap(({ logLines }) => logLines)
            .filter(({ message }) => message === "preempting other work");
        assert.isNotEmpty(preemptions);
        for (const { fields } of preemptions.filter(line => line.fields.guaranteed === false)) {
            assert.isAtMost(Number(fields.lostCoreMs), Number(fields.coreMs) * maxLostWorkFactor, `${fields.unit}`);
        }
    });

    it("urgent bursts find room on a fleet of resumable work", async () => {
        const { result } = await replay("resumableFleet", 1);
        const urgent = result.streams.find(({ stream }) => stream === "matches");
        assert.isAtLeast(urgent?.earnedShare ?? 0, minUrgentShare);
    });

    // guards against work that is postponed for ever, and against a set of postponed work that loses track of a step
    it("work is postponed on insufficient capacity, for its objective at most", async () => {
        const { logLines } = await replay("insufficientCapacity", 1);
        const lines = logLines.filter(({ message }) => /^work (no longer )?postponed$/.test(message));
        assert.isNotEmpty(lines);
        const postponed = new Set<unknown>();
        for (const { message, fields } of lines) {
            const begins = message === "work postponed";
            assert.equal(postponed.has(fields.unit), !begins, String(fields.unit));
            if (begins) {
                postponed.add(fields.unit);
            }
            else {
                postponed.delete(fields.unit);
            }
            assert.isAtMost(Number(fields.postponedMs ?? 0), longestObjectiveMs + judgedAfterMs);
        }
        assert.equal(postponed.size, 0);
    });

    it("every copy is current soon after an outage of the table", async () => {
        const { logLines, startedAtMs } = await replay("backlogAfterOutage", 1);
        const outageEndMs = startedAtMs + 19_000;
        const confirmed = logLines.filter(({ message }) => message === "table readable again");
        assert.isNotEmpty(confirmed);
        confirmed.forEach(({ timeMs, vm, fields }) =>
            assert.isAtMost(timeMs - outageEndMs, recoveryMs, `${vm} ${String(fields.table)}`)
        );
    });
});

describe("a load file", () => {
    it("with an unknown field or a missing one is rejected with its line", () => {
        const load = readLoad(join(loadFolder, "../../test/data/badLoad.jsonc"));
        assert.isFalse(load.ok);
        assert.match(load.ok ? "" : load.error, /badLoad\.jsonc:4: .*workersPerRak/s);
        assert.match(load.ok ? "" : load.error, /required.*durationMs/s);
    });

    it("that does not exist is rejected with its name", () => {
        const load = readLoad("nowhere.jsonc");
        assert.match(load.ok ? "" : load.error, /nowhere\.jsonc: cannot be read/);
    });
});
