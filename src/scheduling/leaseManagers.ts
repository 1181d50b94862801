import type { Peers } from "../peers/peers.js";
import type { GangReport, ZoneReport } from "../peers/types.js";
import type { Vm } from "../platform/types.js";
import { rankCandidates } from "../utils/rendezvous.js";
import { createLeaseManager } from "./leaseManager.js";
import type { LeaseManager, LeaseManagerOptions } from "./leaseManager.js";

/** Options of {@link createLeaseManagers}. */
export interface LeaseManagersOptions
    extends Pick<LeaseManagerOptions, "vm" | "availabilityZone" | "timer" | "clientOf" | "leaseMs">
{
    peers: Peers;
    listEndpoints: () => Vm[];
    /** Passes a zone's report on to the planner. */
    report: (report: ZoneReport) => Promise<void>;
}

/** The zones that this scheduler looks after at present. */
export interface LeaseManagers {
    round(): Promise<void>;
    managedZones(): string[];
    /** Gangs whose leases this scheduler renews. */
    gangs(): GangReport[];
}

/** Creates the lease managers of a scheduler: one per zone for which it ranks first among the live schedulers. */
export const createLeaseManagers = (options: LeaseManagersOptions): LeaseManagers => {
    const leaseManagers = new Map<string, LeaseManager>();

    const candidatesFor = (zone: string): string[] => {
        const live = options.peers.live().map(view => ({
            vm: view.vm,
            availabilityZone: view.heartbeat?.availabilityZone,
        }));
        const all = [...live, { vm: options.vm, availabilityZone: options.availabilityZone }];
        const local = all.filter(candidate => candidate.availabilityZone === zone);
        return (local.length > 0 ? local : all).map(candidate => candidate.vm);
    };

    const zones = (): string[] => [...new Set(options.listEndpoints().map(vm => vm.availabilityZone))];

    const isOwn = (zone: string): boolean => rankCandidates(zone, candidatesFor(zone))[0] === options.vm;

    const workersOf = (zone: string) =>
        options.listEndpoints()
            .filter(vm => vm.availabilityZone === zone)
            .map(vm => ({ name: vm.name, httpAddress: vm.httpAddress }));

    const leaseManagerOf = (zone: string): LeaseManager => {
        const known = leaseManagers.get(zone);
        if (known !== undefined) {
            return known;
        }
        const created = createLeaseManager({ ...options, availabilityZone: zone, listWorkers: () => workersOf(zone) });
        leaseManagers.set(zone, created);
        return created;
    };

    const round = async (): Promise<void> => {
        const own = zones().filter(isOwn);
        [...leaseManagers.keys()].filter(zone => !own.includes(zone)).forEach(zone => leaseManagers.delete(zone));
        await Promise.all(own.map(async zone => options.report(await leaseManagerOf(zone).round())));
    };

    return {
        round,
        managedZones: () => [...leaseManagers.keys()],
        gangs: () => [...leaseManagers.values()].flatMap(leaseManager => leaseManager.gangs()),
    };
};
