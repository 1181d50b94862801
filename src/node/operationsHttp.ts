import type { Server } from "node:http";
import type { RelayedTable, RelayRequest } from "../state/relay.js";
import { createJsonServer } from "../utils/http.js";
import type { EntryMetrics } from "./entryMetrics.js";
import type { EntryVm } from "./entryVm.js";
import { relayPath } from "./relayPeer.js";

/** Options of {@link createOperationsServer}. */
export interface OperationsServerOptions {
    vm: EntryVm;
    metrics: EntryMetrics;
    /** Table on which relayed operations of other VMs are performed. */
    table: RelayedTable;
}

/** Largest body of a relayed operation, which is a transaction of the table. */
const maxBodyBytes = 1_048_576;

/** Creates the HTTP server for operators and other VMs: `/metrics` for Prometheus, `/v1/dump` and the table relay. */
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
