/** Lets the members of gangs work only together, for models of workers. */
import { EndKind } from "../../src/execution/types.js";
import type { TimerService, Unsubscribe } from "../../src/utils/timer.js";

/** One member of a gang. */
export interface GangMember {
    /** All members are present. */
    work(): void;
    end(kind: EndKind): void;
}

/** The gangs of all workers that share it. */
export interface GangRegistry {
    join(key: string, size: number, member: GangMember): void;
    /** The member has ended; the others end with it. */
    leave(key: string, member: GangMember, kind: EndKind): void;
}

interface Gang {
    size: number;
    members: Set<GangMember>;
    working: boolean;
    cancelWait: Unsubscribe;
}

/** Time that members wait for the others. */
const waitMs = 3_000;

/** Creates a registry without gangs. */
export const createGangRegistry = (timer: TimerService): GangRegistry => {
    const gangs = new Map<string, Gang>();

    const endRest = (key: string, gang: Gang, kind: EndKind): void => {
        gangs.delete(key);
        gang.cancelWait();
        const rest = [...gang.members];
        gang.members.clear();
        rest.forEach(member => member.end(kind));
    };

    const create = (key: string, size: number): Gang => {
        const gang: Gang = {
            size,
            members: new Set(),
            working: false,
            cancelWait: timer.after(waitMs, () => endRest(key, gang, EndKind.Alone)),
        };
        gangs.set(key, gang);
        return gang;
    };

    return {
        join: (key, size, member) => {
            const gang = gangs.get(key) ?? create(key, size);
            gang.members.add(member);
            if (gang.members.size === gang.size && !gang.working) {
                gang.working = true;
                gang.cancelWait();
                gang.members.forEach(present => present.work());
            }
        },
        leave: (key, member, kind) => {
            const gang = gangs.get(key);
            if (gang === undefined || !gang.members.delete(member)) {
                return;
            }
            if (gang.working) {
                endRest(key, gang, kind === EndKind.Done ? EndKind.Done : EndKind.Broken);
            }
        },
    };
};
