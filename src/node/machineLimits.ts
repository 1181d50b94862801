/** What clients may take of an entry VM's machine. */

/** Size of the machine of an entry VM. */
export interface MachineSize {
    /** Descriptors that the process may open. */
    maxDescriptors: number;
    memoryMb: number;
}

/** Bounds on what clients take. */
export interface ClientBounds {
    maxCallerConnections: number;
    maxOperationsConnections: number;
    maxReadinessConnections: number;
    maxBodyBytesInProgress: number;
}

/** Descriptors for files, pipes and listeners. */
const fileDescriptors = 200;
/** Connections to the platform's table: 32 for operations, 20 for probes of its parts. */
const tableDescriptors = 52;
/** Connections of a planner to 250 workers, 4 to each. */
const workerDescriptors = 1_000;
/** Connections to 45 other entry VMs, 4 to each; the further ones, for long polls and for phases of jobs, go to few. */
const peerDescriptors = 180;
/** Connections of the load balancer's health checks, which ask once a second. */
const maxReadinessConnections = 32;

/** Connections of other entry VMs and operators as a share of the descriptors, and the bounds on it. */
const operationsShare = 1 / 8;
const minOperationsConnections = 200;
const maxOperationsConnections = 1_024;

/** Share of the memory that idle connections may take, and what one takes in the process. */
const connectionMemoryShare = 1 / 8;
const connectionKb = 16;
/** Share of the descriptors for callers on a machine that has fewer than everything else needs. */
const minCallerShare = 1 / 8;

/** Share of the memory for bodies in progress, and the bounds on it. */
const bodyMemoryShare = 1 / 12;
const bytesPerMb = 1_048_576;
const kbPerMb = 1_024;
const minBodyMb = 8;
const maxBodyMb = 32;

const clamp = (value: number, min: number, max: number): number => Math.min(max, Math.max(min, Math.floor(value)));

/**
 * Derives the bounds: callers get the descriptors that workers, the table, other entry VMs and files leave, as far as
 * the memory allows.
 */
export const deriveClientBounds = ({ maxDescriptors, memoryMb }: MachineSize): ClientBounds => {
    const operations = clamp(maxDescriptors * operationsShare, minOperationsConnections, maxOperationsConnections);
    const reserved = fileDescriptors + tableDescriptors + workerDescriptors + peerDescriptors;
    const left = maxDescriptors - reserved - operations - maxReadinessConnections;
    const byMemory = memoryMb * connectionMemoryShare * kbPerMb / connectionKb;
    return {
        maxCallerConnections: clamp(Math.min(left, byMemory), Math.max(1, maxDescriptors * minCallerShare), Infinity),
        maxOperationsConnections: operations,
        maxReadinessConnections,
        maxBodyBytesInProgress: clamp(memoryMb * bodyMemoryShare, minBodyMb, maxBodyMb) * bytesPerMb,
    };
};
