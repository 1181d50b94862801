import { VmState } from "../platform/types.js";
import type { Vm } from "../platform/types.js";
import type { TimerService } from "../utils/timer.js";
import { createEndpointConnections } from "./connections.js";
import type { EndpointConnections } from "./connections.js";
import { createEjection } from "./ejection.js";
import type { Ejection } from "./ejection.js";

/** An endpoint as a router sees it. */
export interface Endpoint {
    name: string;
    availabilityZone: string;
    httpAddress: string;
    incarnation: number;
    /** Set by the platform's list or the endpoint's own word; only a new incarnation clears it. */
    leaving: boolean;
    connections: EndpointConnections;
    /** This router's calls in progress there. */
    outstanding: number;
    /** Slots in use by its latest answer. */
    slotsBusy: number;
    /** Monotonic time of that answer. */
    slotsBusyAtMs: number;
    /** Monotonic time until which it is left alone after a refusal. */
    busyUntilMs: number;
}

/** The endpoints of a router. */
export interface Endpoints {
    /** Follows the platform's list. */
    update(vms: readonly Vm[]): void;
    all(): Endpoint[];
    /** Endpoints that may get new work. */
    eligible(zonesOut: ReadonlyMap<string, unknown>): Endpoint[];
    markLeaving(endpoint: Endpoint): void;
    ejection: Ejection;
    close(): Promise<void>;
}

const toEndpoint = (vm: Vm): Endpoint => ({
    name: vm.name,
    availabilityZone: vm.availabilityZone,
    httpAddress: vm.httpAddress,
    incarnation: vm.incarnation,
    leaving: vm.state === VmState.Leaving,
    connections: createEndpointConnections(vm.httpAddress),
    outstanding: 0,
    slotsBusy: 0,
    slotsBusyAtMs: 0,
    busyUntilMs: 0,
});

/** Creates an empty view of the endpoints. */
export const createEndpoints = (timer: TimerService): Endpoints => {
    const endpoints = new Map<string, Endpoint>();
    const ejection = createEjection(timer);

    const retire = (endpoint: Endpoint): void => {
        endpoint.leaving = true;
        void endpoint.connections.close();
    };

    const updateOne = (vm: Vm): void => {
        const known = endpoints.get(vm.name);
        if (known === undefined || vm.incarnation > known.incarnation) {
            if (known !== undefined) {
                retire(known);
            }
            endpoints.set(vm.name, toEndpoint(vm));
            return;
        }
        // an older list may still call it live, so the mark stays for the whole incarnation
        known.leaving ||= vm.incarnation === known.incarnation && vm.state === VmState.Leaving;
    };

    const update = (vms: readonly Vm[]): void => {
        vms.forEach(updateOne);
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
