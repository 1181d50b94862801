/** Model of gang scheduling for worker models: members of a gang start together and end together. */
import { EndKind } from "../../src/execution/types.js";
import type { TimerService, Unsubscribe } from "../../src/utils/timer.js";

/** One member of a gang. */
export interface GangMember {
    /** Rate at which it would work by itself. */
    speed: number;
    /** Called once all members have joined; the gang works at the rate of its slowest member. */
    work(speed: number): void;
    /** Called when the gang ends before this member does. */
    end(kind: EndKind): void;
}

/** Gangs whose members run on the workers that share this registry. */
export interface GangRegistry {
    /** Adds a member; the first one starts the time limit for the others. */
    join(key: string, size: number, member: GangMember): void;
    /** Removes a member that has ended; if the gang has started, this ends the other members. */
    leave(key: string, member: GangMember, kind: EndKind): void;
}

interface Gang {
    size: number;
    members: Set<GangMember>;
    isComplete: boolean;
    cancelTimeout: Unsubscribe;
}

/** Time limit for all members to join; after it, the present ones end as {@link EndKind.Alone}. */
const joinTimeoutMs = 3_000;

/** Creates an empty registry. */
export const createGangRegistry = (timer: TimerService): GangRegistry => {
    const gangs = new Map<string, Gang>();

    const endRemaining = (key: string, gang: Gang, kind: EndKind): void => {
        gangs.delete(key);
        gang.cancelTimeout();
        const remaining = [...gang.members];
        gang.members.clear();
        remaining.forEach(member => member.end(kind));
    };

    const create = (key: string, size: number): Gang => {
        const gang: Gang = {
            size,
            members: new Set(),
            isComplete: false,
            cancelTimeout: timer.after(joinTimeoutMs, () => endRemaining(key, gang, EndKind.Alone)),
        };
        gangs.set(key, gang);
        return gang;
    };

    return {
        join: (key, size, member) => {
            const gang = gangs.get(key) ?? create(key, size);
            gang.members.add(member);
            if (gang.members.size === gang.size && !gang.isComplete) {
                gang.isComplete = true;
                gang.cancelTimeout();
                const speed = Math.min(...[...gang.members].map(joined => joined.speed));
                gang.members.forEach(joined => joined.work(speed));
            }
        },
        leave: (key, member, kind) => {
            const gang = gangs.get(key);
            if (gang === undefined || !gang.members.delete(member)) {
                return;
            }
            if (gang.isComplete) {
                endRemaining(key, gang, kind === EndKind.Done ? EndKind.Done : EndKind.Broken);
            }
        },
    };
};
