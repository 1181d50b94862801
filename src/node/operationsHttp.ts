import type { Server } from "node:http";
import type { RelayedTable } from "../state/relay.js";
import { isRelayRequest } from "../state/relayMessages.js";
import { createJsonServer } from "../utils/http.js";
import type { RequestIntake } from "../utils/requestIntake.js";
import type { EntryMetrics } from "./entryMetrics.js";
import type { EntryVm } from "./entryVm.js";
import { isPhaseRequest, phasePath } from "./phasePeer.js";
import { relayPath } from "./relayPeer.js";

/** Options of {@link createOperationsServer}. */
export interface OperationsServerOptions {
    vm: EntryVm;
    metrics: EntryMetrics;
    /** Table on which relayed operations of other VMs are performed. */
    table: RelayedTable;
    /** Names of the tables on which operations are relayed; a request for another one is refused. */
    relayedTables: ReadonlySet<string>;
    /** Limits that the servers of the process share. */
    intake: RequestIntake;
    maxConnections: number;
}

/** Largest body of a relayed operation, which is a transaction of the table. */
const maxBodyBytes = 1_048_576;

/** Creates the HTTP server for operators and other VMs: `/metrics` for Prometheus, `/v1/dump`, the table relay and phases of jobs. */
export const createOperationsServer = (options: OperationsServerOptions): Server => {
    const { vm, metrics, table, relayedTables, intake, maxConnections } = options;
    return createJsonServer(async request => {
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
                return isRelayRequest(request.body, relayedTables)
                    ? { status: 200, body: await table.performForPeer(request.body) }
                    : { status: 400, body: { detail: "not an operation that VMs relay" } };
            case phasePath:
                return isPhaseRequest(request.body)
                    ? { status: 200, body: { known: vm.knownPhase(request.body.jobId) } }
                    : { status: 400, body: { detail: "jobId must be a text" } };
            default:
                return { status: 404, body: {} };
        }
    }, { maxBodyBytes, intake, maxConnections, name: "operations" });
};
