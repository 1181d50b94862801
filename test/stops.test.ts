import { assert } from "chai";
import { formatRequest, openCallerConnection } from "./fixtures/callerConnection.js";
import type { CallerConnection } from "./fixtures/callerConnection.js";
import { startPlatformProcesses, waitUntil } from "./fixtures/platformProcesses.js";
import type { EntryVmProcess, PlatformProcesses } from "./fixtures/platformProcesses.js";
import { runStopSoak } from "./fixtures/stopSoak.js";

const maxWaitMs = 5_000;
/** Deadline of callers that would wait longer than the process may take to stop. */
const patientHeaders = { "deadline-ms": "10000" };

const jobId = (index: number): string => index.toString(16).padStart(16, "0");

const formatSubmission = (index: number): string =>
    formatRequest("POST", `/bookings/${jobId(index)}`, {
        body: {
            spec: JSON.stringify({ workMs: 100 }),
            steps: [{ count: 1, cpu: 4_000, "mem-mb": 1_024, gpu: 1, "estimate-ms": 100 }],
        },
        headers: patientHeaders,
    });

describe("a stop of an entry VM's process", () => {
    let processes: PlatformProcesses;
    let connections: CallerConnection[];

    const open = async (vm: EntryVmProcess): Promise<CallerConnection> => {
        const connection = await openCallerConnection(vm.callers);
        assert.isDefined(connection);
        connections.push(connection as CallerConnection);
        return connection as CallerConnection;
    };

    const hasLine = (vm: EntryVmProcess, message: string): boolean => vm.lines.some(line => line.message === message);

    beforeEach(async () => {
        processes = await startPlatformProcesses();
        connections = [];
    });

    afterEach(async () => {
        connections.forEach(connection => connection.destroy());
        await processes.stop();
    });

    it("answers the requests that still wait for a silent table when the process has to exit", async () => {
        const vm = await processes.startVm("a");
        const [submitting, incomplete] = [await open(vm), await open(vm)];
        await processes.control("switches", { tableSilent: true });
        const exited = vm.kill("SIGTERM");
        await waitUntil(async () => hasLine(vm, "stopping"), maxWaitMs, "the process is stopping");
        const [head, body] = formatSubmission(2).split("\r\n\r\n");
        const answers = Promise.all([
            submitting.request(formatSubmission(1)),
            incomplete.request(`${head}\r\n\r\n${body.slice(0, 10)}`),
        ]);
        await exited;
        assert.deepEqual((await answers).map(answer => answer?.status), [504, 503]);
    });
});

describe("stops, restarts and changes that overlap", () => {
    it("leave no request that a process has received without a complete answer", async function() {
        this.timeout(60_000);
        const report = await runStopSoak({ seed: 8, durationMs: 8_000 });
        assert.deepEqual(report.lost, []);
        assert.deepEqual(report.badExits, []);
        assert.isAbove(report.stops, 2, "stops during the soak");
        assert.isAbove(report.answers[200], 100, "requests served during the soak");
    });
});
