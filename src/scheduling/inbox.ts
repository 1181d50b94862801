import type { Condition, PlatformClient } from "../platform/types.js";
import { hasEnded, readActiveJobs, readJob } from "./jobTable.js";
import type { StoredJob } from "./jobTable.js";

const inboxPrefix = "inbox/";
/** Inbox entries up to which rows are read one by one. */
const maxSingleReads = 20;

const readFew = async (
    platform: PlatformClient,
    ids: readonly string[],
    take: (stored: StoredJob) => void,
): Promise<boolean> => {
    const reads = await Promise.all(ids.map(id => readJob(platform, id)));
    for (const read of reads) {
        if (read.ok && read.value !== undefined && !hasEnded(read.value.record.state)) {
            take(read.value);
        }
    }
    return reads.every(read => read.ok);
};

const readMany = async (
    platform: PlatformClient,
    ids: ReadonlySet<string>,
    take: (stored: StoredJob) => void,
): Promise<boolean> => {
    const active = await readActiveJobs(platform);
    const found = active.ok ? active.value : [];
    found.filter(stored => ids.has(stored.record.spec.id)).forEach(take);
    return active.ok;
};

/**
 * Reads the jobs that the inbox names, passes them on and empties the inbox.
 *
 * @param guard keeps a process that is no longer the planner from emptying it
 */
export const takeInbox = async (
    platform: PlatformClient,
    guard: Condition,
    take: (stored: StoredJob) => void,
): Promise<void> => {
    const inbox = await platform.scan<unknown>(inboxPrefix);
    if (!inbox.ok || inbox.value.length === 0) {
        return;
    }
    const ids = inbox.value.map(row => row.key.slice(inboxPrefix.length));
    const taken = ids.length > maxSingleReads
        ? await readMany(platform, new Set(ids), take)
        : await readFew(platform, ids, take);
    if (taken) {
        await platform.commit({
            conditions: [guard, ...inbox.value.map(row => ({ key: row.key, version: row.version }))],
            writes: inbox.value.map(row => ({ key: row.key })),
        });
    }
};
