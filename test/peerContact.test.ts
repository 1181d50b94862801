import { assert } from "chai";
import { createPeerContact } from "../src/state/peerContact.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";

/** Longest pause of a VM without a way to the table between two requests to the same other VM. */
const retryMs = 1_700;

describe("a VM without an answer from other VMs", () => {
    const createContact = (others: readonly string[]) => {
        const timer = createVirtualTimer();
        return { timer, contact: createPeerContact(timer, () => others) };
    };

    it("is isolated until one answers, and again when none has answered for longer than it takes to ask all", async () => {
        const { timer, contact } = createContact(["b"]);
        assert.isTrue(contact.isIsolated());
        contact.recordAnswer();
        await timer.advance(retryMs);
        assert.isFalse(contact.isIsolated());
        await timer.advance(retryMs);
        assert.isTrue(contact.isIsolated());
    });

    it("is not isolated if there are no others", () => {
        assert.isFalse(createContact([]).contact.isIsolated());
    });
});
