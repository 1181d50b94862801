/** Stand-in for the platform: a transactional table and a VM list that lags, with switchable faults. Test code only. */
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";
import type { ChangedRow, CommitReceipt, Row, Transaction, Vm, VmList } from "../src/platform/types.js";
import { createJsonServer, listen } from "../src/utils/http.js";
import type { JsonAnswer, JsonRequest } from "../src/utils/http.js";

/** Faults that can be switched on and off while the stand-in runs. */
export interface PlatformSwitches {
    /** Answers every request with status 503. */
    down: boolean;
    /** Delay before every answer. */
    slowMs: number;
    /** Number of next commits that take effect but get no answer. */
    loseAnswers: number;
    /** VMs whose requests get no answer, as if they were partitioned from the platform. */
    cutVms: string[];
    /** Delay after which changes of the VM list become visible. */
    listLagMs: number;
}

const switches: PlatformSwitches = { down: false, slowMs: 0, loseAnswers: 0, cutVms: [], listLagMs: 500 };
const rows = new Map<string, Row>();
/** Latest change of every key ever written, oldest first. */
const latestChanges = new Map<string, ChangedRow>();
let changeListeners: (() => void)[] = [];
const counts = { reads: 0, writes: 0, conflicts: 0, answersLost: 0 };
let lastVersion = 0;
let vmList: VmList = { revision: 0, vms: [] };
let visibleVmList: VmList = vmList;

const versionOf = (key: string): number => rows.get(key)?.version ?? 0;

const commit = (transaction: Transaction): JsonAnswer => {
    const failed = transaction.conditions.filter(condition => versionOf(condition.key) !== condition.version);
    if (failed.length > 0) {
        counts.conflicts += 1;
        const current = transaction.conditions.flatMap(condition => rows.get(condition.key) ?? []);
        return { status: 409, body: { keys: failed.map(condition => condition.key), rows: current } };
    }
    const receipt: CommitReceipt = { versions: {} };
    lastVersion += 1;
    for (const write of transaction.writes) {
        counts.writes += 1;
        if (write.value === undefined || write.value === null) {
            rows.delete(write.key);
        }
        else {
            rows.set(write.key, { key: write.key, version: lastVersion, value: write.value });
        }
        latestChanges.delete(write.key);
        latestChanges.set(write.key, { key: write.key, version: lastVersion, value: write.value ?? undefined });
        receipt.versions[write.key] = lastVersion;
    }
    const notified = changeListeners;
    changeListeners = [];
    notified.forEach(listener => listener());
    return { status: 200, body: receipt };
};

const findChanges = (prefix: string, after: number): ChangedRow[] =>
    [...latestChanges.values()].filter(row => row.version > after && row.key.startsWith(prefix));

const readChanges = async (query: URLSearchParams): Promise<JsonAnswer> => {
    counts.reads += 1;
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const deadlineAtMs = Date.now() + Number(query.get("waitMs") ?? 0);
    while (findChanges(prefix, after).length === 0 && Date.now() < deadlineAtMs) {
        await Promise.race([
            new Promise<void>(resolve => changeListeners.push(resolve)),
            sleep(deadlineAtMs - Date.now()),
        ]);
    }
    return { status: 200, body: { rows: findChanges(prefix, after), version: lastVersion } };
};

const readRows = (query: URLSearchParams): JsonAnswer => {
    counts.reads += 1;
    const key = query.get("key");
    if (key !== null) {
        const row = rows.get(key);
        return { status: 200, body: { rows: row === undefined ? [] : [row] } };
    }
    const prefix = query.get("prefix") ?? "";
    const from = query.get("from") ?? prefix;
    const before = query.get("before");
    const found = [...rows.values()].filter(row =>
        row.key.startsWith(prefix) && row.key >= from && (before === null || row.key < before)
    );
    found.sort((left, right) => left.key < right.key ? -1 : 1);
    return { status: 200, body: { rows: found, version: lastVersion } };
};

const replaceVmList = (vms: Vm[]): JsonAnswer => {
    vmList = { revision: vmList.revision + 1, vms };
    const published = vmList;
    setTimeout(() => {
        visibleVmList = published;
    }, switches.listLagMs);
    return { status: 200, body: vmList };
};

const neverAnswer = (): Promise<JsonAnswer> => new Promise(() => {});

const handleAdminRequest = (request: JsonRequest): JsonAnswer => {
    switch (request.path) {
        case "/admin/switches":
            Object.assign(switches, request.body);
            return { status: 200, body: switches };
        case "/admin/vms":
            return replaceVmList((request.body as { vms: Vm[]; }).vms);
        default:
            return { status: 200, body: { counts, vmList, rowCount: rows.size } };
    }
};

const handleRequest = async (request: JsonRequest): Promise<JsonAnswer> => {
    if (request.path.startsWith("/admin/")) {
        return handleAdminRequest(request);
    }
    if (switches.cutVms.includes(String(request.headers["x-vm"]))) {
        return neverAnswer();
    }
    if (switches.down) {
        return { status: 503, body: { detail: "switched off" } };
    }
    if (switches.slowMs > 0) {
        await sleep(switches.slowMs);
    }
    if (request.path === "/v1/vms") {
        const hasNewRevision = Number(request.query.get("since") ?? -1) < visibleVmList.revision;
        return { status: 200, body: hasNewRevision ? visibleVmList : { revision: visibleVmList.revision } };
    }
    if (request.path === "/v1/table/rows") {
        return readRows(request.query);
    }
    if (request.path === "/v1/table/changes") {
        return readChanges(request.query);
    }
    if (request.path !== "/v1/table/transactions") {
        return { status: 404, body: { detail: "no such path" } };
    }
    const committed = commit(request.body as Transaction);
    if (committed.status === 200 && switches.loseAnswers > 0) {
        switches.loseAnswers -= 1;
        counts.answersLost += 1;
        return neverAnswer();
    }
    return committed;
};

const main = async (): Promise<void> => {
    const { values } = parseArgs({ options: { port: { type: "string", default: "0" } } });
    const server = createJsonServer(handleRequest, { maxBodyBytes: 8_000_000 });
    const port = await listen(server, "127.0.0.1", Number(values.port));
    process.stdout.write(`${JSON.stringify({ listening: port })}\n`);
    process.on("SIGTERM", () => process.exit(0));
};

void main();
