import { assert } from "chai";
import { createPeerContact } from "../src/state/peerContact.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";

const createContact = (others: readonly string[]) => {
    const timer = createVirtualTimer();
    return { timer, ...createPeerContact(timer, () => others) };
};

describe("a VM that calls other VMs", () => {
    it("is isolated once two of them have not answered, until one does", () => {
        const { recordCall, isIsolated } = createContact(["b", "c", "d"]);
        assert.isFalse(isIsolated(), "none was called");
        recordCall("b", false);
        recordCall("b", false);
        assert.isFalse(isIsolated(), "one VM may have failed itself");
        recordCall("c", false);
        assert.isTrue(isIsolated());
        recordCall("d", true);
        assert.isFalse(isIsolated());
    });

    it("is isolated if the only other one does not answer", () => {
        const { recordCall, isIsolated } = createContact(["b"]);
        recordCall("b", false);
        assert.isTrue(isIsolated());
    });

    // guards against an outage of the table that is taken for an isolation that has long ended
    it("is not isolated by calls of long ago", async () => {
        const { timer, recordCall, isIsolated } = createContact(["b", "c"]);
        recordCall("b", false);
        recordCall("c", false);
        await timer.advance(5_000);
        assert.isFalse(isIsolated());
    });
});
