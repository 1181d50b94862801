import type { Peers } from "../peers/peers.js";
import type { GangReport, ZoneReport } from "../peers/types.js";
import type { Vm } from "../platform/types.js";
import { rankCandidates } from "../utils/rendezvous.js";
import { createKeeper } from "./keeper.js";
import type { Keeper, KeeperOptions } from "./keeper.js";

/** Options of {@link createKeepers}. */
export interface KeepersOptions
    extends Pick<KeeperOptions, "vm" | "availabilityZone" | "timer" | "clientOf" | "leaseMs">
{
    peers: Peers;
    listEndpoints: () => Vm[];
    /** Passes a zone's report on to the planner. */
    report: (report: ZoneReport) => Promise<void>;
}

/** The zones that this scheduler looks after at present. */
export interface Keepers {
    round(): Promise<void>;
    keptZones(): string[];
    /** Gangs whose leases this scheduler renews. */
    gangs(): GangReport[];
}

/** Creates the keepers of a scheduler: one per zone for which it ranks first among the live schedulers. */
export const createKeepers = (options: KeepersOptions): Keepers => {
    const keepers = new Map<string, Keeper>();

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

    const keeperOf = (zone: string): Keeper => {
        const known = keepers.get(zone);
        if (known !== undefined) {
            return known;
        }
        const created = createKeeper({ ...options, availabilityZone: zone, listWorkers: () => workersOf(zone) });
        keepers.set(zone, created);
        return created;
    };

    const round = async (): Promise<void> => {
        const own = zones().filter(isOwn);
        [...keepers.keys()].filter(zone => !own.includes(zone)).forEach(zone => keepers.delete(zone));
        await Promise.all(own.map(async zone => options.report(await keeperOf(zone).round())));
    };

    return {
        round,
        keptZones: () => [...keepers.keys()],
        gangs: () => [...keepers.values()].flatMap(keeper => keeper.gangs()),
    };
};
