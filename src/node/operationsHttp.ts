import type { Server } from "node:http";
import type { RelayedTable, RelayRequest } from "../state/relay.js";
import { createJsonServer } from "../utils/http.js";
import type { EntryMetrics } from "./entryMetrics.js";
import type { EntryVm } from "./entryVm.js";
import { relayPath } from "./relayPeer.js";

/** What the server for operators and other VMs shows and serves. */
export interface OperationsServerOptions {
    vm: EntryVm;
    metrics: EntryMetrics;
    table: RelayedTable;
}

/** Largest relayed operation: a transaction of the table. */
const maxBodyBytes = 1_048_576;

/** Creates the server: `/metrics` as text for scrapers, `/v1/dump` as JSON, and the relay for other VMs. */
export const createOperationsServer = ({ vm, metrics, table }: OperationsServerOptions): Server =>
    createJsonServer(async request => {
        switch (request.path) {
            case "/metrics":
                return {
                    status: 200,
                    body: await metrics.render(),
                    headers: { "content-type": "text/plain; version=0.0.4" },
                };
            case "/v1/dump":
                return { status: 200, body: vm.dump() };
            case relayPath:
                return { status: 200, body: await table.performForPeer(request.body as RelayRequest) };
            default:
                return { status: 404, body: {} };
        }
    }, { maxBodyBytes });
