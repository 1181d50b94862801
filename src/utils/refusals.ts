import type { JsonAnswer } from "./http.js";

/** Why a client was refused or its connection closed; a label of metrics, so it is one of these. */
export enum RefusalCause {
    /** A body is larger than the limit of its server. */
    BodyTooLarge = "bodyTooLarge",
    /** A body did not arrive completely in time. */
    BodyTimeout = "bodyTimeout",
    /** All bodies in progress take more memory than they may. */
    BodyBudget = "bodyBudget",
    /** The server has too many connections. */
    ConnectionLimit = "connectionLimit",
    /** Too many requests wait for the answer to an earlier one on their connection. */
    Pipelining = "pipelining",
    /** Headers did not arrive completely in time. */
    HeaderTimeout = "headerTimeout",
    /** Headers or trailers are larger than the limit. */
    HeadersTooLarge = "headersTooLarge",
    /** What the client sent is not HTTP. */
    Malformed = "malformed",
}

/** A decision to refuse clients, with its inputs. */
export interface Refusal {
    /** Name of the server. */
    server: string;
    cause: RefusalCause;
    /** Number of clients that this decision refuses. */
    clients: number;
    /** Time since the first of them began what it did not complete. */
    ageMs: number;
    /** Time since bytes of the first of them arrived. */
    stalledMs: number;
    /** Memory that the clients held. */
    heldBytes: number;
    /** Connections of the server, or bodies in progress in the process. */
    inProgress: number;
}

/** Time after which a refused caller may come back: other entry VMs serve it at once, and stalled bodies end soon. */
const retryAfterS = 1;

interface RefusalText {
    status: number;
    title: string;
    detail: string;
    mayReturn: boolean;
}

const refusalTexts: Record<RefusalCause, RefusalText> = {
    [RefusalCause.BodyTooLarge]: {
        status: 413,
        title: "body too large",
        detail: "the body is larger than the limit",
        mayReturn: false,
    },
    [RefusalCause.BodyTimeout]: {
        status: 408,
        title: "body too slow",
        detail: "the body did not arrive in time",
        mayReturn: true,
    },
    [RefusalCause.BodyBudget]: {
        status: 503,
        title: "too many bodies",
        detail: "the request bodies in progress take too much memory",
        mayReturn: true,
    },
    [RefusalCause.ConnectionLimit]: {
        status: 503,
        title: "too many connections",
        detail: "this VM has too many connections",
        mayReturn: true,
    },
    [RefusalCause.Pipelining]: {
        status: 429,
        title: "too many requests",
        detail: "too many requests wait for answers on this connection",
        mayReturn: true,
    },
    [RefusalCause.HeaderTimeout]: {
        status: 408,
        title: "headers too slow",
        detail: "the headers did not arrive in time",
        mayReturn: true,
    },
    [RefusalCause.HeadersTooLarge]: {
        status: 431,
        title: "headers too large",
        detail: "headers or trailers are larger than the limit",
        mayReturn: false,
    },
    [RefusalCause.Malformed]: {
        status: 400,
        title: "malformed request",
        detail: "the request is not HTTP",
        mayReturn: false,
    },
};

/** Answer of a request that is refused before it is complete, so that it never runs; it closes the connection. */
export const refusalAnswer = (cause: RefusalCause, detail?: string): JsonAnswer => {
    const text = refusalTexts[cause];
    return {
        status: text.status,
        body: { title: text.title, status: text.status, detail: detail ?? text.detail, outcome: "notRun" },
        headers: {
            "content-type": "application/problem+json",
            connection: "close",
            ...(text.mayReturn ? { "retry-after": String(retryAfterS) } : {}),
        },
    };
};
