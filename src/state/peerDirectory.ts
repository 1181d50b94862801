import type { Log } from "../node/logs.js";
import { isSocketAddress } from "../utils/socketAddress.js";
import type { TimerService } from "../utils/timer.js";
import { describeStateError } from "./types.js";
import type { StateTable } from "./types.js";

/** Another entry VM. */
export interface Peer {
    name: string;
    /** `host:port` for operators and other VMs. */
    address: string;
    /** CPU cores available to its processes. */
    cores: number;
}

/** Registers this VM and lists the other registered entry VMs. */
export interface PeerDirectory {
    /** The other VMs, shuffled at each refresh so that requests spread over them. */
    others(): readonly Peer[];
    /** Cores of this VM relative to the registered VM with the most, 0 to 1; 0 until the others are known. */
    relativePower(): number;
    /** Removes this VM's row. */
    deregister(): Promise<void>;
    /** Stops refreshing. */
    stop(): void;
}

/** Table in which entry VMs register; separate from the jobs table, whose followers would receive its changes too. */
const vmsTable = "vms";
/** Time between refreshes; VMs join and leave some hundred times a day. */
const refreshIntervalMs = 5_000;
/** Maximum number of unusable rows that one refresh logs. */
const maxLoggedAtOnce = 20;

/** Maximum number of cores that a VM can claim; a row with more was not written by a VM. */
const maxCores = 1_024;

/** Decodes the row of a VM; `undefined` if another writer's row names no VM that can be called. */
const toPeer = (name: string, value: unknown): Peer | undefined => {
    const { address, cores } = (value ?? {}) as { address?: unknown; cores?: unknown; };
    return isSocketAddress(address) && typeof cores === "number" && cores > 0 && cores <= maxCores
        ? { name, address, cores }
        : undefined;
};

/** Registers this VM and keeps an up-to-date list of the others. */
export const createPeerDirectory = (
    state: StateTable,
    timer: TimerService,
    log: Log,
    self: Peer,
): PeerDirectory => {
    let peers: Peer[] = [];
    let registered = false;
    let isLeaving = false;
    let arePeersKnown = false;
    /** Names of rows that cannot be used, as of the last read: each is logged once. */
    let unusable: ReadonlySet<string> = new Set();

    const logUnusable = (names: readonly string[]): void => {
        names.filter(name => !unusable.has(name)).slice(0, maxLoggedAtOnce)
            .forEach(name => log("warn", "entry names no VM to call", { name }));
        unusable = new Set(names);
    };

    const register = async (): Promise<void> => {
        const row = { table: vmsTable, key: self.name, value: { address: self.address, cores: self.cores } };
        const written = await state.commit({ part: "", conditions: [], writes: [row] });
        registered = written.ok;
        if (!written.ok) {
            log("warn", "not registered as an entry VM yet", { reason: describeStateError(written.error) });
        }
    };

    const refresh = async (): Promise<void> => {
        if (!registered && !isLeaving) {
            await register();
        }
        const read = await state.read({ table: vmsTable, part: "" });
        if (read.ok) {
            arePeersKnown = true;
            const listed = read.value.rows.map(row => toPeer(row.key, row.value)).filter(peer => peer !== undefined);
            const usable = new Set(listed.map(({ name }) => name));
            logUnusable(read.value.rows.map(row => row.key).filter(name => !usable.has(name)));
            // a write of an earlier process of this VM may have taken effect late
            registered = listed.some(({ name, address }) => name === self.name && address === self.address);
            peers = listed
                .filter(peer => peer.name !== self.name)
                .map(peer => ({ peer, rank: Math.random() }))
                .sort((left, right) => left.rank - right.rank)
                .map(entry => entry.peer);
        }
    };

    void refresh();
    const unsubscribe = timer.every(refreshIntervalMs, refresh);
    return {
        others: () => peers,
        relativePower: () => arePeersKnown ? self.cores / Math.max(self.cores, ...peers.map(peer => peer.cores)) : 0,
        deregister: async () => {
            isLeaving = true;
            await state.commit({ part: "", conditions: [], writes: [{ table: vmsTable, key: self.name }] });
        },
        stop: unsubscribe,
    };
};
