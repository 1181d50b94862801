import type { JsonAnswer } from "./http.js";

/** A request that a server has begun to read and whose response is not complete. */
export interface OpenRequest {
    readonly method: string;
    readonly path: string;
    readonly startedAtMs: number;
    /** Whether the handler has been called, so that the request may take effect. */
    isHandled: boolean;
}

/** Who closed the connection of a request before its response was complete. */
export enum ClosedBy {
    Caller = "caller",
    /** This process, or a timeout of its server. */
    Server = "server",
}

/** Options of {@link createOpenRequests}. */
export interface OpenRequestsOptions {
    nowMs: () => number;
    /** Called when a request has been received; its body may still be missing. @default nothing is called */
    onAdded?: (request: OpenRequest) => void;
    /** Called when a connection was closed before the response was complete. @default nothing is called */
    onBroken?: (request: OpenRequest, ageMs: number, closedBy: ClosedBy) => void;
}

/** Number and age of the open requests. */
export interface OpenRequestSummary {
    openRequests: number;
    /** Age of the oldest one; 0 when there is none. */
    oldestMs: number;
}

/** The open requests of a server, which a stop waits for and finally answers itself. */
export interface OpenRequests {
    /** Registers a request; `respond` answers it unless it has been answered. */
    add(method: string, path: string, respond: (answer: JsonAnswer) => void): OpenRequest;
    /** Removes a request whose response is complete; with `closedBy` one whose connection was closed before that. */
    remove(request: OpenRequest, closedBy?: ClosedBy): void;
    summarize(): OpenRequestSummary;
    /** Answers every open request, and from then on each further one, without waiting for its handler. */
    interrupt(answer: (request: OpenRequest) => JsonAnswer): void;
    /** Resolves when no request is open. */
    drained(): Promise<void>;
}

/** Creates an empty set of open requests. */
export const createOpenRequests = ({ nowMs, onAdded, onBroken }: OpenRequestsOptions): OpenRequests => {
    const responders = new Map<OpenRequest, (answer: JsonAnswer) => void>();
    let onDrained: (() => void)[] = [];
    let interruption: ((request: OpenRequest) => JsonAnswer) | undefined;

    return {
        add: (method, path, respond) => {
            const request = { method, path, startedAtMs: nowMs(), isHandled: false };
            responders.set(request, respond);
            onAdded?.(request);
            if (interruption !== undefined) {
                respond(interruption(request));
            }
            return request;
        },
        remove: (request, closedBy) => {
            responders.delete(request);
            if (closedBy !== undefined) {
                onBroken?.(request, nowMs() - request.startedAtMs, closedBy);
            }
            if (responders.size === 0) {
                onDrained.forEach(listener => listener());
                onDrained = [];
            }
        },
        summarize: () => {
            const startedAtMs = [...responders.keys()].map(request => request.startedAtMs);
            return {
                openRequests: responders.size,
                oldestMs: responders.size === 0 ? 0 : Math.round(nowMs() - Math.min(...startedAtMs)),
            };
        },
        interrupt: answer => {
            interruption = answer;
            responders.forEach((respond, request) => respond(answer(request)));
        },
        drained: () =>
            responders.size === 0
                ? Promise.resolve()
                : new Promise(resolve => {
                    onDrained.push(resolve);
                }),
    };
};
