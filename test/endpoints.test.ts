import { assert } from "chai";
import { VmKind, VmState } from "../src/platform/types.js";
import type { Vm } from "../src/platform/types.js";
import { choosePowerOfTwo } from "../src/routing/choose.js";
import { createEndpoints } from "../src/routing/endpoints.js";
import { createPauseDetector } from "../src/utils/pauseDetector.js";
import { createRandom } from "../src/utils/random.js";
import { createVirtualTimer } from "../src/utils/virtualTimer.js";

const buildVm = (change: Partial<Vm> = {}): Vm => ({
    name: "endpoint",
    kind: VmKind.Endpoint,
    state: VmState.Live,
    availabilityZone: "a",
    incarnation: 1,
    httpAddress: "http://127.0.0.1:1",
    ...change,
});

const noZonesOut = new Map<string, unknown>();

describe("endpoints", () => {
    it("that are leaving remain so when an older list says live", () => {
        const endpoints = createEndpoints(createVirtualTimer());
        endpoints.update([buildVm()]);
        endpoints.markLeaving(endpoints.all()[0]);
        endpoints.update([buildVm()]);
        assert.isEmpty(endpoints.eligible(noZonesOut));
    });

    it("that left and returned get calls again only as a new incarnation", () => {
        const endpoints = createEndpoints(createVirtualTimer());
        endpoints.update([buildVm({ state: VmState.Leaving })]);
        endpoints.update([buildVm({ state: VmState.Live })]);
        assert.isEmpty(endpoints.eligible(noZonesOut));
        endpoints.update([buildVm({ incarnation: 2 })]);
        assert.lengthOf(endpoints.eligible(noZonesOut), 1);
        endpoints.update([buildVm({ incarnation: 1, state: VmState.Leaving })]);
        assert.lengthOf(endpoints.eligible(noZonesOut), 1, "an older incarnation is ignored");
    });

    it("in a zone out of service get no calls", () => {
        const endpoints = createEndpoints(createVirtualTimer());
        endpoints.update([buildVm(), buildVm({ name: "other", availabilityZone: "b" })]);
        assert.deepEqual(endpoints.eligible(new Map([["a", {}]])).map(endpoint => endpoint.name), ["other"]);
    });

    it("that fail alone are ejected, but not when calls fail at all endpoints", () => {
        const names = ["one", "two", "three", "four"];
        const alone = createEndpoints(createVirtualTimer());
        const everywhere = createEndpoints(createVirtualTimer());
        alone.update(names.map(name => buildVm({ name })));
        everywhere.update(names.map(name => buildVm({ name })));
        for (let round = 0; round < 20; round++) {
            names.forEach(name => alone.ejection.record(name, name === "two"));
            names.forEach(name => everywhere.ejection.record(name, true));
        }
        assert.deepEqual(alone.ejection.ejected(), ["two"]);
        assert.isEmpty(everywhere.ejection.ejected());
    });

    it("of the router's zone are preferred unless all are at capacity", () => {
        const endpoints = createEndpoints(createVirtualTimer());
        endpoints.update([buildVm(), buildVm({ name: "far", availabilityZone: "b" })]);
        const input = {
            endpoints: endpoints.all(),
            availabilityZone: "a",
            nowMs: 0,
            random: createRandom(1),
            maxOutstanding: 8,
            excluded: new Set<string>(),
        };
        assert.equal(choosePowerOfTwo(input)?.name, "endpoint");
        endpoints.all()[0].outstanding = 8;
        assert.equal(choosePowerOfTwo(input)?.name, "far");
    });
});

describe("a process that was paused", () => {
    it("is stale until its refresh has completed", async () => {
        const timer = createVirtualTimer();
        let refreshed = 0;
        let pausedMs = 0;
        const clock = { ...timer, nowMs: () => timer.nowMs() + pausedMs };
        const detector = createPauseDetector({
            timer: clock,
            onResume: async () => {
                await timer.sleep(300);
                refreshed += 1;
            },
        });
        await timer.advance(1_000);
        assert.isFalse(detector.isStale());
        pausedMs = 8_000;
        assert.isTrue(detector.isStale());
        await timer.advance(300);
        assert.isTrue(detector.isStale(), "the refresh is in progress");
        await timer.advance(400);
        assert.isFalse(detector.isStale());
        assert.equal(refreshed, 1);
        detector.stop();
    });

    it("is stale no longer than the limit when the refresh does not complete", async () => {
        const timer = createVirtualTimer();
        let pausedMs = 0;
        const clock = { ...timer, nowMs: () => timer.nowMs() + pausedMs };
        const detector = createPauseDetector({ timer: clock, onResume: () => new Promise(() => {}) });
        await timer.advance(1_000);
        pausedMs = 8_000;
        await timer.advance(2_500);
        assert.isFalse(detector.isStale());
        detector.stop();
    });
});
