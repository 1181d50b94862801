import type { Log } from "../node/logs.js";
import type { TimerService } from "../utils/timer.js";
import { describeStateError } from "./types.js";
import type { StateTable } from "./types.js";

/** Another entry VM. */
export interface Peer {
    name: string;
    /** `host:port` for operators and other VMs. */
    address: string;
    /** Cores that its processes have. */
    cores: number;
}

/** The entry VMs that have registered themselves. */
export interface PeerDirectory {
    /** The others, in random order that changes with each reading. */
    others(): readonly Peer[];
    /** Processing power of this VM as a share of the strongest registered one's; 0 until the others are known. */
    relativePower(): number;
    /** Removes the own entry. */
    leave(): Promise<void>;
    stop(): void;
}

/** Table in which entry VMs register; outside the jobs table, whose changes every VM follows. */
const vmsTable = "vms";
/** Time between readings: VMs come and go some hundred times a day. */
const readMs = 5_000;

const toPeer = (name: string, value: unknown): Peer => {
    const { address, cores } = (value ?? {}) as { address?: unknown; cores?: unknown; };
    return { name, address: String(address ?? ""), cores: Number(cores) || 0 };
};

/** Registers this VM and keeps a list of the others. */
export const createPeerDirectory = (
    state: StateTable,
    timer: TimerService,
    log: Log,
    own: Peer,
): PeerDirectory => {
    let peers: Peer[] = [];
    let registered = false;
    let known = false;

    const register = async (): Promise<void> => {
        const row = { table: vmsTable, key: own.name, value: { address: own.address, cores: own.cores } };
        const written = await state.commit({ part: "", conditions: [], writes: [row] });
        registered = written.ok;
        if (!written.ok) {
            log("warn", "not registered as an entry VM yet", { reason: describeStateError(written.error) });
        }
    };

    const refresh = async (): Promise<void> => {
        if (!registered) {
            await register();
        }
        const read = await state.read({ table: vmsTable, part: "" });
        if (read.ok) {
            known = true;
            peers = read.value.rows
                .map(row => toPeer(row.key, row.value))
                .filter(peer => peer.name !== own.name && peer.address !== "")
                .map(peer => ({ peer, rank: Math.random() }))
                .sort((left, right) => left.rank - right.rank)
                .map(entry => entry.peer);
        }
    };

    void refresh();
    const unsubscribe = timer.every(readMs, refresh);
    return {
        others: () => peers,
        relativePower: () => known ? own.cores / Math.max(own.cores, ...peers.map(peer => peer.cores)) : 0,
        leave: async () => {
            await state.commit({ part: "", conditions: [], writes: [{ table: vmsTable, key: own.name }] });
        },
        stop: unsubscribe,
    };
};
