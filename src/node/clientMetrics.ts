import { Counter, Gauge } from "prom-client";
import type { Registry } from "prom-client";

/** Metrics of what clients take from an entry VM. */
export interface ClientMetrics {
    /** Counts clients that were refused or whose connections were closed because of limits; `cause` becomes a label. */
    recordRefusedClients(server: string, cause: string, count: number): void;
    /** Sets the function that returns the memory of request bodies in progress, called when metrics are read. */
    watchBodyBytes(heldBytes: () => number): void;
}

/** Creates the metrics in registries. */
export const createClientMetrics = (registers: Registry[]): ClientMetrics => {
    const refusedClients = new Counter({
        name: "catkinswitch_refused_clients_total",
        help: "Clients refused, or connections closed, because of limits on what clients take, by server and cause.",
        labelNames: ["server", "cause"],
        registers,
    });
    let readHeldBytes = (): number => 0;
    new Gauge({
        name: "catkinswitch_request_body_bytes",
        help: "Memory of the request bodies in progress.",
        registers,
        collect() {
            this.set(readHeldBytes());
        },
    });
    return {
        recordRefusedClients: (server, cause, count) => refusedClients.inc({ server, cause }, count),
        watchBodyBytes: heldBytes => {
            readHeldBytes = heldBytes;
        },
    };
};
