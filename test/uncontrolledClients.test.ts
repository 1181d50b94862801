import { assert } from "chai";
import { formatRequest, openCallerConnection } from "./fixtures/callerConnection.js";
import { startPlatformProcesses, waitUntil } from "./fixtures/platformProcesses.js";
import type { EntryVmProcess, PlatformProcesses } from "./fixtures/platformProcesses.js";
import {
    hasUnread,
    pipeline,
    sendChunks,
    sendTrailers,
    startCrowd,
    stayIdle,
    stopShort,
    trickle,
    watchUsage,
} from "./fixtures/uncontrolledClients.js";
import type { ClientBehavior, Crowd } from "./fixtures/uncontrolledClients.js";

/** Memory and descriptors of the machine on which the process is tested; it must stay within both. */
const machine = { memoryMb: 160, maxDescriptors: 300 };
const maxHeapMb = 48;
/** Connections are accepted for half of it after a stop has begun. */
const stopGraceS = 4;
const settings = {
    ...machine,
    maxBodyBytesInProgress: 4 * 1024 * 1024,
    bodyTimeoutMs: 1_000,
    headerTimeoutMs: 1_000,
    maxCallerConnections: 120,
    maxOperationsConnections: 60,
    maxReadinessConnections: 8,
};
const jobPath = "/bookings/0000000000000001";
const relayPath = "/v1/relay";
const kb = 1_024;
/** Limit on the time in which a process reads what a crowd has sent; only one that hangs takes this long. */
const maxReadingMs = 30_000;
const job = {
    spec: JSON.stringify({ workMs: 100, note: "1".repeat(3_900) }),
    steps: [{ count: 1, cpu: 4_000, "mem-mb": 1_024, gpu: 1, "estimate-ms": 100 }],
};
const relayRequest = { operation: "read", range: { table: "jobs", part: "", from: "none", before: "none" } };

type Address = "callers" | "readiness" | "operations";

interface Attack {
    description: string;
    address: Address;
    clientCount: number;
    behavior: ClientBehavior;
}

const attacksOn = (address: Address, name: string, path: string, bodyKb: number): Attack[] => [
    {
        description: `bodies in very small chunks on ${name}`,
        address,
        clientCount: 60,
        behavior: sendChunks(path, 1, 40_000),
    },
    {
        description: `bodies in large chunks on ${name}`,
        address,
        clientCount: 150_000 / bodyKb,
        behavior: sendChunks(path, 10 * kb, bodyKb / 10),
    },
    {
        description: `bodies that stop just short of their end on ${name}`,
        address,
        clientCount: 150_000 / bodyKb,
        behavior: stopShort(path, bodyKb * kb),
    },
    { description: `idle connections on ${name}`, address, clientCount: 400, behavior: stayIdle },
];

const attacks: Attack[] = [
    ...attacksOn("callers", "the callers' address", jobPath, 250),
    {
        description: "trailers without end on the callers' address",
        address: "callers",
        clientCount: 60,
        behavior: sendTrailers(jobPath, 4_096 * kb),
    },
    {
        description: "bodies that trickle on the callers' address",
        address: "callers",
        clientCount: 400,
        behavior: trickle(jobPath, 60, 50),
    },
    {
        description: "pipelined requests on the callers' address",
        address: "callers",
        clientCount: 20,
        behavior: pipeline(jobPath, 3_500),
    },
    ...attacksOn("operations", "the relay", relayPath, 1_000),
    {
        description: "trailers without end on the relay",
        address: "operations",
        clientCount: 60,
        behavior: sendTrailers(relayPath, 4_096 * kb),
    },
    {
        description: "bodies that trickle on the relay",
        address: "operations",
        clientCount: 400,
        behavior: trickle(relayPath, 60, 50),
    },
    ...attacksOn("operations", "the operators' address", "/metrics", 1_000).slice(2),
    ...attacksOn("readiness", "the readiness address", "/-/readyz", 60).slice(0, 1),
    {
        description: "idle connections on the readiness address",
        address: "readiness",
        clientCount: 400,
        behavior: stayIdle,
    },
];

describe("uncontrolled clients", function() {
    this.timeout(60_000);
    let processes: PlatformProcesses;
    let vm: EntryVmProcess;
    const crowds: Crowd[] = [];

    const start = ({ address, clientCount, behavior }: Omit<Attack, "description">): Crowd => {
        const crowd = startCrowd(vm[address], clientCount, behavior);
        crowds.push(crowd);
        return crowd;
    };

    /** Status of the answer to one request on a new connection. */
    const requestStatus = async (address: Address, text: string): Promise<number | undefined> => {
        const connection = await openCallerConnection(vm[address]);
        const answer = await connection?.request(text);
        connection?.destroy();
        return answer?.status;
    };

    /** Ordinary requests that are not served, each of them sent once. */
    const findUnserved = async (): Promise<string[]> => {
        const relayed = formatRequest("POST", relayPath, { body: relayRequest });
        const submission = formatRequest("POST", "/bookings/0000000000000002", { body: job });
        const statuses = {
            submitter: await requestStatus("callers", submission),
            caller: await requestStatus("callers", formatRequest("GET", "/bookings/")),
            peer: await requestStatus("operations", relayed),
            "health check": await requestStatus("readiness", formatRequest("GET", "/-/readyz")),
        };
        return Object.entries(statuses)
            .filter(([, status]) => status !== 200)
            .map(([name, status]) => `a ${name} got ${status ?? "no answer"}`);
    };

    /** Uses of more than the machine has, while `act` runs. */
    const findExcesses = async (act: () => Promise<unknown>): Promise<string[]> => {
        const watch = watchUsage(vm);
        await act();
        const { memoryMb, descriptors } = await watch.stop();
        return [
            ...(memoryMb <= machine.memoryMb ? [] : [`memory ${memoryMb} MB, the machine has ${machine.memoryMb}`]),
            ...(descriptors <= machine.maxDescriptors
                ? []
                : [`${descriptors} descriptors, the machine has ${machine.maxDescriptors}`]),
        ];
    };

    /** Everything that is wrong while crowds send, when all that they have sent is read, and afterwards. */
    const findFaults = async (act: () => Promise<unknown>): Promise<string[]> => {
        let unserved: string[] = [];
        const excesses = await findExcesses(async () => {
            await act();
            await waitUntil(async () => !vm.isRunning() || !await hasUnread(vm), maxReadingMs, "all is read");
            unserved = vm.isRunning() ? await findUnserved() : [];
        });
        return [...(vm.isRunning() ? [] : ["the process has ended"]), ...excesses, ...unserved];
    };

    beforeEach(async () => {
        processes = await startPlatformProcesses();
        vm = await processes.startVm("a", { maxHeapMb, settings, stopGraceS });
    });

    afterEach(async () => {
        crowds.splice(0).forEach(crowd => crowd.leave());
        await processes.stop();
    });

    // guards against processes that run out of memory or descriptors, and against ones that serve nobody afterwards
    for (const attack of attacks) {
        it(`leave the process within its machine and serving: ${attack.description}`, async () => {
            assert.deepEqual(await findFaults(() => start(attack).sent), []);
        });
    }

    const crowdOfAllKinds = (): Crowd[] => [
        start({ address: "callers", clientCount: 30, behavior: sendChunks(jobPath, 1, 40_000) }),
        start({ address: "callers", clientCount: 300, behavior: stopShort(jobPath, 250 * kb) }),
        start({ address: "operations", clientCount: 80, behavior: stopShort(relayPath, 1_000 * kb) }),
        start({ address: "callers", clientCount: 30, behavior: sendTrailers(jobPath, 4_096 * kb) }),
        start({ address: "callers", clientCount: 50, behavior: trickle(jobPath, 60, 50) }),
        start({ address: "operations", clientCount: 100, behavior: stayIdle }),
    ];

    it("leave the process within its machine and serving: all kinds among ordinary callers", async () => {
        const faults = await findFaults(async () => {
            let isOver = false;
            const callOften = async (): Promise<void> => {
                while (!isOver && vm.isRunning()) {
                    await requestStatus("callers", formatRequest("GET", "/bookings/"));
                }
            };
            const callers = [callOften(), callOften(), callOften()];
            await Promise.all(crowdOfAllKinds().map(crowd => crowd.sent));
            isOver = true;
            await Promise.all(callers);
        });
        assert.deepEqual(faults, []);
    });

    // guards against stops that a crowd turns into crashes, or in which it takes the answers of ordinary callers
    it("keep a process that stops neither from answering a request nor from its orderly end", async () => {
        let exitCode: number | undefined;
        let status: number | undefined;
        const excesses = await findExcesses(async () => {
            const sent = Promise.all(crowdOfAllKinds().map(crowd => crowd.sent));
            const exited = vm.kill("SIGTERM");
            await waitUntil(
                async () => !vm.isRunning() || vm.lines.some(line => line.message === "stopping"),
                10_000,
                "the process is stopping",
            );
            status = await requestStatus("callers", formatRequest("GET", "/bookings/"));
            exitCode = await exited;
            await sent;
        });
        assert.deepEqual(excesses, []);
        assert.equal(status, 200, "the ordinary caller is answered");
        assert.equal(exitCode, 0);
        const stopped = vm.lines.find(line => line.message === "stopped");
        assert.isDefined(stopped, "the stop was completed");
    });
});
