import type { TimerService } from "../utils/timer.js";

/** Whether other VMs answer this one. */
export interface PeerContact {
    /** Records whether another VM has answered a call of this one. */
    recordCall(peer: string, isAnswered: boolean): void;
    /** Whether other VMs have been called lately and none has answered since. */
    isIsolated(): boolean;
}

/** Other VMs that have not answered: one alone may have failed itself. */
const minSilentPeers = 2;
/** Time for which a call without an answer counts. A VM that does not reach the table calls other VMs all the time. */
const evidenceMs = 5_000;

/** Creates the contact of a VM that has called no other one yet. */
export const createPeerContact = (
    { nowMs }: Pick<TimerService, "nowMs">,
    others: () => readonly unknown[],
): PeerContact => {
    /** Time of the latest call without an answer, by VM; emptied by an answer. */
    const silentAtMs = new Map<string, number>();
    return {
        recordCall: (peer, isAnswered) => {
            if (isAnswered) {
                silentAtMs.clear();
            }
            else {
                silentAtMs.set(peer, nowMs());
            }
        },
        isIsolated: () => {
            const silent = [...silentAtMs.values()].filter(atMs => nowMs() - atMs < evidenceMs).length;
            return silent > 0 && silent >= Math.min(minSilentPeers, others().length);
        },
    };
};
