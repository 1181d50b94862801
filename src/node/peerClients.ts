import { createHttpClient } from "../utils/httpJsonClient.js";
import type { HttpClient } from "../utils/httpJsonClient.js";

/** Creates a finder of HTTP clients by address; each is created once, with at most `maxConnections` connections. */
export const createPeerClients = (maxConnections: number): (address: string) => HttpClient => {
    const clients = new Map<string, HttpClient>();
    return address => {
        const client = clients.get(address) ?? createHttpClient(address, maxConnections);
        clients.set(address, client);
        return client;
    };
};
