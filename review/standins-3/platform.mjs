/** Stand-in for the platform: its store with tables, conditional transactions and a feed of changes, over HTTP. */
import { createServer } from "node:http";

const readBody = async request => {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString("utf8"));
};

const send = (response, status, body) => {
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
};

/** Serves requests with `handle`, which resolves with a status and a body, or with `undefined` for no answer. */
export const serve = async (handle, port = 0) => {
    const server = createServer(async (request, response) => {
        try {
            const url = new URL(request.url, "http://localhost");
            const reply = await handle({
                method: request.method,
                headers: request.headers,
                url,
                body: await readBody(request),
                isCallerGone: () => request.socket.destroyed,
            });
            if (reply !== undefined && !response.destroyed) {
                send(response, reply.status, reply.body);
            }
        }
        catch {
            response.destroy();
        }
    });
    server.keepAliveTimeout = 60_000;
    await new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, "127.0.0.1", resolve);
    });
    return server;
};

/** Time that the store takes for a call. */
const callMs = 4;
const sleep = durationMs => new Promise(resolve => setTimeout(resolve, durationMs));

/**
 * Creates the store.
 *
 * @param intercept called with the VM and the kind of a call before the store handles it; the call is handled once the
 *     returned promise resolves, and not answered if it resolves with `false`
 */
export const createStore = ({ intercept = async () => true } = {}) => {
    const rows = new Map();
    const servers = [];
    let version = 0;
    let wakers = [];

    const rowId = ({ table, part = "", key }) => JSON.stringify([table, part, key]);
    const presentRow = id => {
        const row = rows.get(rowId(id));
        return row?.removed === true ? undefined : row;
    };

    const transact = body => {
        const conditions = body["expected-revision"] ?? [];
        if (conditions.some(condition => (presentRow(condition)?.ver ?? 0) !== condition.ver)) {
            return { status: 412, body: { rows: conditions.map(presentRow).filter(row => row !== undefined), ver: version } };
        }
        version += 1;
        for (const { table, part = "", key, value } of body["set-keys"] ?? []) {
            rows.set(rowId({ table, part, key }), { table, part, key, ver: version, value });
        }
        for (const { table, part = "", key } of body.remove ?? []) {
            rows.set(rowId({ table, part, key }), { table, part, key, ver: version, removed: true });
        }
        const waking = wakers;
        wakers = [];
        waking.forEach(wake => wake());
        return { status: 200, body: { ver: version, "now-ms": Math.floor(performance.now()) } };
    };

    const get = query => {
        const from = query.get("from");
        const target = query.get("target");
        const found = [...rows.values()].filter(row =>
            row.removed !== true && row.table === query.get("table") && row.part === (query.get("part") ?? "")
            && (from === null || row.key >= from) && (target === null || row.key < target)
        );
        found.sort((left, right) => left.key < right.key ? -1 : 1);
        return { status: 200, body: { rows: found, ver: version, "more-pages": false } };
    };

    const changesAfter = (table, after) =>
        [...rows.values()].filter(row => row.table === table && row.ver > after).sort((left, right) =>
            left.ver - right.ver
        );

    const feed = async query => {
        const table = query.get("table");
        const after = Number(query.get("after"));
        const untilMs = performance.now() + Number(query.get("wait-ms") ?? 0);
        while (changesAfter(table, after).length === 0 && performance.now() < untilMs) {
            await new Promise(resolve => {
                wakers.push(resolve);
                setTimeout(resolve, Math.max(1, untilMs - performance.now()));
            });
        }
        return { status: 200, body: { rows: changesAfter(table, after), ver: version } };
    };

    const handle = vm => async ({ url, body }) => {
        const call = url.pathname.slice("/-/".length);
        if (await intercept(vm, call, body) === false) {
            return new Promise(() => {});
        }
        await sleep(callMs);
        switch (call) {
            case "rows-tx":
                return transact(body);
            case "rows-get":
                return get(url.searchParams);
            case "rows-feed":
                return feed(url.searchParams);
            default:
                return { status: 404, body: {} };
        }
    };

    const encode = value => Buffer.from(JSON.stringify(value)).toString("base64");
    return {
        /** Opens an address for one VM. */
        listen: async vm => {
            const server = await serve(handle(vm));
            servers.push(server);
            return `127.0.0.1:${server.address().port}`;
        },
        write: (table, key, value) => transact({ "set-keys": [{ table, key, value: encode(value) }] }),
        remove: (table, key) => transact({ remove: [{ table, key }] }),
        /** Values of a table's rows, by key. */
        read: table =>
            new Map(
                [...rows.values()].filter(row => row.table === table && row.removed !== true).map(row => [
                    row.key,
                    JSON.parse(Buffer.from(row.value, "base64").toString("utf8")),
                ]),
            ),
        close: () => servers.forEach(server => server.closeAllConnections() ?? server.close()),
    };
};
