import { assert } from "chai";
import { createTableClient } from "../platform/table.js";
import { StateErrorKind } from "../src/state/types.js";

const commitAnswered = async (status: number, body: unknown = {}) => {
    const client = createTableClient({ call: async () => ({ ok: true, answer: { status, body } }), close: () => {} });
    return client.commit({ part: "p0", conditions: [], writes: [{ table: "jobs", key: "k", value: 1 }] });
};

describe("a transaction that the platform's table answers", () => {
    for (const status of [400, 403, 413, 429, 503, 507]) {
        it(`has not taken effect with status ${status}`, async () => {
            const written = await commitAnswered(status);
            assert.isTrue(!written.ok && written.error.kind === StateErrorKind.Unavailable);
        });
    }

    for (const status of [500, 502, 504]) {
        it(`may have taken effect with status ${status}, which the platform does not define`, async () => {
            const written = await commitAnswered(status);
            assert.isTrue(!written.ok && written.error.kind === StateErrorKind.NoAnswer);
        });
    }

    it("has the version in the answer", async () => {
        assert.deepEqual(await commitAnswered(200, { ver: 7 }), { ok: true, value: { version: 7 } });
    });

    it("has an unknown version when the answer cannot be read", async () => {
        const written = await commitAnswered(200, undefined);
        assert.isTrue(!written.ok && written.error.kind === StateErrorKind.NoAnswer);
    });
});
