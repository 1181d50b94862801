/** Stand-in for the platform's store over HTTP. Test code only. */
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { StateErrorKind } from "../../src/state/types.js";
import type { StateRow, StateTransaction } from "../../src/state/types.js";
import { listen } from "../../src/utils/http.js";
import { createTableModel } from "../../standins/fleet/tableModel.js";

type JsonBody = Record<string, unknown>;

interface Reply {
    status: number;
    body: unknown;
}

/** Whether and how fast the store answers. */
export interface TableSwitches {
    /** Time that every answer takes. */
    answerMs: number;
    /** Answers every request with status 503, having done nothing. */
    isDown: boolean;
}

/** The store, as the stand-ins of the operator and of the workers use it. */
export interface TableServer {
    port: number;
    switches: TableSwitches;
    /** Writes a row with an empty part. */
    writeRow(table: string, key: string, value: unknown): void;
    removeRow(table: string, key: string): void;
    close(): void;
}

const usualAnswerMs = 4;

export const readJson = async (request: IncomingMessage): Promise<JsonBody> => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString("utf8")) as JsonBody;
};

export const sendJson = (response: ServerResponse, { status, body }: Reply): void => {
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
};

const encodeRow = (row: StateRow): JsonBody => ({
    table: row.table,
    part: row.part,
    key: row.key,
    ver: row.version,
    ...(row.value === undefined
        ? { removed: true }
        : { value: Buffer.from(JSON.stringify(row.value)).toString("base64") }),
});

const decodeTransaction = (body: JsonBody): StateTransaction => {
    const conditions = (body["expected-revision"] ?? []) as JsonBody[];
    const sets = (body["set-keys"] ?? []) as JsonBody[];
    const removes = (body.remove ?? []) as JsonBody[];
    const first = [...conditions, ...sets, ...removes][0] ?? {};
    return {
        part: String(first.part ?? ""),
        conditions: conditions.map(row => ({
            table: String(row.table),
            key: String(row.key),
            version: Number(row.ver),
        })),
        writes: [
            ...sets.map(row => ({
                table: String(row.table),
                key: String(row.key),
                value: JSON.parse(Buffer.from(String(row.value), "base64").toString("utf8")) as unknown,
            })),
            ...removes.map(row => ({ table: String(row.table), key: String(row.key) })),
        ],
    };
};

/** Starts the store on a free loopback port. */
export const startTableServer = async (): Promise<TableServer> => {
    const table = createTableModel();
    const switches: TableSwitches = { answerMs: usualAnswerMs, isDown: false };

    const commit = (body: JsonBody): Reply => {
        const written = table.commit(decodeTransaction(body));
        if (written.ok) {
            return { status: 200, body: { ver: written.value.version, "now-ms": Math.floor(performance.now()) } };
        }
        const rows = written.error.kind === StateErrorKind.Conflict ? written.error.rows : [];
        return { status: 412, body: { rows: rows.map(encodeRow) } };
    };

    const readFeed = async (query: URLSearchParams): Promise<Reply> => {
        const name = query.get("table") ?? "";
        const after = Number(query.get("after"));
        const untilMs = performance.now() + Number(query.get("wait-ms") ?? 0);
        while (performance.now() < untilMs && table.changes(name, after)?.rows.length === 0) {
            const changed = new Promise<void>(resolve => table.onceChanged(resolve));
            await Promise.race([changed, sleep(untilMs - performance.now())]);
        }
        const changes = table.changes(name, after);
        return changes === undefined
            ? { status: 410, body: {} }
            : { status: 200, body: { rows: changes.rows.map(encodeRow), ver: changes.version } };
    };

    const read = (query: URLSearchParams): Reply => {
        const { rows, version } = table.read({
            table: query.get("table") ?? "",
            part: query.get("part") ?? "",
            from: query.get("from") ?? undefined,
            before: query.get("target") ?? undefined,
        });
        const sorted = rows.sort((left, right) => left.key < right.key ? -1 : 1);
        return { status: 200, body: { rows: sorted.map(encodeRow), ver: version, "more-pages": false } };
    };

    const handle = async (request: IncomingMessage): Promise<Reply> => {
        const url = new URL(request.url ?? "/", "http://localhost");
        const body = await readJson(request);
        if (switches.isDown) {
            return { status: 503, body: {} };
        }
        await sleep(switches.answerMs);
        switch (url.pathname) {
            case "/-/rows-tx":
                return commit(body);
            case "/-/rows-feed":
                return readFeed(url.searchParams);
            case "/-/rows-get":
                return read(url.searchParams);
            default:
                return { status: 404, body: {} };
        }
    };

    const server = createServer((request, response) => {
        handle(request).then(reply => sendJson(response, reply), () => response.destroy());
    });
    server.keepAliveTimeout = 60_000;
    return {
        port: await listen(server, "127.0.0.1", 0),
        switches,
        writeRow: (name, key, value) => {
            table.commit({ part: "", conditions: [], writes: [{ table: name, key, value }] });
        },
        removeRow: (name, key) => {
            table.commit({ part: "", conditions: [], writes: [{ table: name, key }] });
        },
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
};
