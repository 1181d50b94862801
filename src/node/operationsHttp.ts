import { createServer } from "node:http";
import type { Server } from "node:http";
import type { EntryMetrics } from "./entryMetrics.js";
import type { EntryVm } from "./entryVm.js";

/** Creates the server for operators: `/metrics` as text for scrapers, `/v1/dump` as JSON. */
export const createOperationsServer = (vm: EntryVm, metrics: EntryMetrics): Server =>
    createServer((request, response) => {
        if (request.url === "/metrics") {
            metrics.render().then(
                text => response.writeHead(200, { "content-type": "text/plain; version=0.0.4" }).end(text),
                (error: unknown) => response.writeHead(500).end(String(error)),
            );
            return;
        }
        if (request.url === "/v1/dump") {
            response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(vm.dump()));
            return;
        }
        response.writeHead(404).end();
    });
