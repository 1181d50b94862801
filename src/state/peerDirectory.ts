import type { Log } from "../node/logs.js";
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

const toPeer = (name: string, value: unknown): Peer => {
    const { address, cores } = (value ?? {}) as { address?: unknown; cores?: unknown; };
    return { name, address: String(address ?? ""), cores: Number(cores) || 0 };
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
            const listed = read.value.rows.map(row => toPeer(row.key, row.value));
            // a write of an earlier process of this VM may have taken effect late
            registered = listed.some(({ name, address }) => name === self.name && address === self.address);
            peers = listed
                .filter(peer => peer.name !== self.name && peer.address !== "")
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
