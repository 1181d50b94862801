/** Stand-in of the platform's store: rows in tables, atomic transactions, reads of ranges and a feed of changes. */
import { createServer } from "node:http";

const pageRows = 500;

/** Reads the JSON body of a request. */
export const readBody = async request => {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString("utf8"));
};

/** Sends a JSON answer. */
export const sendJson = (response, status, body) => {
    const text = JSON.stringify(body);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    response.end(text);
};

/** Listens on a free port of the loopback address and resolves with the port. */
export const listenLocally = (server, port = 0) =>
    new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, "127.0.0.1", () => resolve(server.address().port));
    });

const encode = value => Buffer.from(JSON.stringify(value)).toString("base64");
const idOf = row => JSON.stringify([row.table, row.part ?? "", row.key]);

/** Starts the store. */
export const startStore = async () => {
    const rows = new Map();
    const startedAt = performance.now();
    let version = 0;
    let waiting = [];
    const nowMs = () => Math.floor(performance.now() - startedAt);
    const versionOf = id => rows.get(id)?.value === undefined ? 0 : rows.get(id).ver;
    const present = row => row.value !== undefined;
    const wire = row => present(row) ? row : { ...row, value: undefined, removed: true };

    const apply = (sets, removes) => {
        version += 1;
        for (const { table, part = "", key, value } of [...sets, ...removes]) {
            rows.set(idOf({ table, part, key }), { table, part, key, ver: version, value });
        }
        const woken = waiting;
        waiting = [];
        woken.forEach(wake => wake());
    };

    const transact = body => {
        const expected = body["expected-revision"] ?? [];
        if (expected.some(row => versionOf(idOf(row)) !== row.ver)) {
            const found = expected.map(row => rows.get(idOf(row))).filter(row => row !== undefined && present(row));
            return [412, { rows: found, ver: version, "now-ms": nowMs() }];
        }
        const removes = (body.remove ?? []).map(({ table, part, key }) => ({ table, part, key }));
        apply(body["set-keys"] ?? [], removes);
        return [200, { ver: version, "now-ms": nowMs() }];
    };

    const readRange = query => {
        const [table, part] = [query.get("table"), query.get("part") ?? ""];
        const [from, before] = [query.get("from"), query.get("target")];
        const found = [...rows.values()]
            .filter(row => row.table === table && row.part === part && present(row))
            .filter(row => (from === null || row.key >= from) && (before === null || row.key < before))
            .sort((first, second) => Buffer.compare(Buffer.from(first.key), Buffer.from(second.key)));
        const page = found.slice(0, Number(query.get("limit") ?? pageRows));
        return [200, { rows: page, ver: version, "now-ms": nowMs(), "more-pages": page.length < found.length }];
    };

    const readFeed = async query => {
        const after = Number(query.get("after"));
        const untilMs = nowMs() + Number(query.get("wait-ms") ?? 0);
        for (;;) {
            const changed = [...rows.values()].filter(row => row.table === query.get("table") && row.ver > after);
            if (changed.length > 0 || nowMs() >= untilMs) {
                changed.sort((first, second) => first.ver - second.ver);
                return [200, { rows: changed.map(wire), ver: version, "now-ms": nowMs() }];
            }
            await new Promise(resolve => {
                setTimeout(resolve, untilMs - nowMs());
                waiting.push(resolve);
            });
        }
    };

    const handle = async (request, url) => {
        switch (url.pathname) {
            case "/-/rows-tx":
                return transact(await readBody(request));
            case "/-/rows-get":
                return readRange(url.searchParams);
            case "/-/rows-feed":
                return readFeed(url.searchParams);
            default:
                return [404, {}];
        }
    };

    const server = createServer((request, response) => {
        const url = new URL(request.url, "http://127.0.0.1");
        handle(request, url).then(([status, body]) => sendJson(response, status, body), () => request.socket.destroy());
    });
    const port = await listenLocally(server);
    const set = (table, key, value) => apply([{ table, key, value: encode(value) }], []);
    return {
        address: `127.0.0.1:${port}`,
        /** Writes a row as the operator, a worker or another writer does. */
        set,
        remove: (table, key) => apply([], [{ table, key }]),
        stop: () => {
            server.close();
            server.closeAllConnections();
        },
    };
};
