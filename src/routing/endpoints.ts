import { VmState } from "../platform/types.js";
import type { Vm } from "../platform/types.js";
import type { TimerService } from "../utils/timer.js";
import { createEndpointConnections } from "./connections.js";
import type { EndpointConnections } from "./connections.js";
import { createEjection } from "./ejection.js";
import type { Ejection } from "./ejection.js";

/** An endpoint as known to one router: its listed address, its load and its connections. */
export interface Endpoint {
    name: string;
    availabilityZone: string;
    httpAddress: string;
    incarnation: number;
    /** Set when the platform's list or the endpoint itself reports it; only a new incarnation clears it. */
    leaving: boolean;
    connections: EndpointConnections;
    /** Calls of this router in progress at the endpoint. */
    outstanding: number;
    /** Slots in use according to its latest answer. */
    slotsBusy: number;
    /** Monotonic time of that answer. */
    slotsBusyAtMs: number;
    /** Monotonic time before which it gets no calls, because it refused one. */
    backoffUntilMs: number;
}

/** The endpoints known to a router. */
export interface Endpoints {
    /** Applies the platform's list: adds, updates and removes endpoints. */
    update(vms: readonly Vm[]): void;
    all(): Endpoint[];
    /** Endpoints that may get new calls: not leaving, not ejected and in no availability zone out of service. */
    eligible(zonesOut: ReadonlyMap<string, unknown>): Endpoint[];
    /** Excludes an endpoint from new calls for the rest of its incarnation. */
    markLeaving(endpoint: Endpoint): void;
    ejection: Ejection;
    /** Closes the connections to all endpoints. */
    close(): Promise<void>;
}

const createEndpoint = (vm: Vm): Endpoint => ({
    name: vm.name,
    availabilityZone: vm.availabilityZone,
    httpAddress: vm.httpAddress,
    incarnation: vm.incarnation,
    leaving: vm.state === VmState.Leaving,
    connections: createEndpointConnections(vm.httpAddress),
    outstanding: 0,
    slotsBusy: 0,
    slotsBusyAtMs: 0,
    backoffUntilMs: 0,
});

/** Creates the registry of a router's endpoints, empty until the first update. */
export const createEndpoints = (timer: TimerService): Endpoints => {
    const endpoints = new Map<string, Endpoint>();
    const ejection = createEjection(timer);

    const retire = (endpoint: Endpoint): void => {
        endpoint.leaving = true;
        void endpoint.connections.close();
    };

    const upsert = (vm: Vm): void => {
        const known = endpoints.get(vm.name);
        if (known === undefined || vm.incarnation > known.incarnation) {
            if (known !== undefined) {
                retire(known);
            }
            endpoints.set(vm.name, createEndpoint(vm));
            return;
        }
        // the list lags behind: it may still show as live an endpoint that reported leaving, so the flag stays set
        known.leaving ||= vm.incarnation === known.incarnation && vm.state === VmState.Leaving;
    };

    const update = (vms: readonly Vm[]): void => {
        vms.forEach(upsert);
        const listed = new Set(vms.map(vm => vm.name));
        for (const endpoint of [...endpoints.values()].filter(known => !listed.has(known.name))) {
            retire(endpoint);
            endpoints.delete(endpoint.name);
        }
        ejection.retain(listed);
    };

    return {
        update,
        all: () => [...endpoints.values()],
        eligible: zonesOut =>
            [...endpoints.values()].filter(endpoint =>
                !endpoint.leaving
                && !zonesOut.has(endpoint.availabilityZone)
                && !ejection.isEjected(endpoint.name)
            ),
        markLeaving: endpoint => {
            endpoint.leaving = true;
        },
        ejection,
        close: async () => {
            await Promise.all([...endpoints.values()].map(endpoint => endpoint.connections.close()));
        },
    };
};
