import type { ConfigurationFollower } from "../configuration/follower.js";
import { currentVersionKey } from "../configuration/types.js";
import type { CurrentVersion } from "../configuration/types.js";
import { commitOnce } from "../platform/commitOnce.js";
import type { Condition, PlatformClient, Row } from "../platform/types.js";
import { PlatformErrorKind } from "../platform/types.js";
import type { TimerService, Unsubscribe } from "../utils/timer.js";

/** Row that the planner renews while it runs. */
interface PlannerLease {
    vm: string;
    processId: string;
    beat: number;
}

/** Row that changes only when the planner changes; decisions are conditional on it. */
interface PlannerEpoch {
    vm: string;
    processId: string;
    epoch: number;
}

const leaseKey = "control/planner";
const epochKey = "control/plannerEpoch";

/** Options of {@link createLeadership}. */
export interface LeadershipOptions {
    vm: string;
    processId: string;
    platform: PlatformClient;
    timer: TimerService;
    follower: ConfigurationFollower;
    /** Position of this process among the live schedulers; later ones wait longer before they take over. */
    takeoverRank: () => number;
    /** Time between renewals and reads. @default 500 */
    beatMs?: number;
    /** Time without a change of the lease after which it is taken over. @default 1500 */
    lapseMs?: number;
}

/** Knows which scheduler plans and takes over when its lease lapses. */
export interface Leadership {
    /** VM of the planner, as last read. */
    plannerVm(): string | undefined;
    isPlanner(): boolean;
    /** Identifies the planner's holds; differs after every takeover. */
    plannerId(): string;
    /** Condition that holds as long as no other process has become the planner. */
    epochGuard(): Condition;
    /** Conditions under which a decision of this planner may be recorded. */
    guards(): Condition[];
    /** Whether the platform answered the latest read. */
    platformReachable(): boolean;
    /** Reads the control rows once. */
    poll(): Promise<void>;
    start(): void;
    /** Gives the lease up so that another scheduler takes over at once. */
    resign(): Promise<void>;
}

const defaultBeatMs = 500;
const defaultLapseMs = 1_500;
const rankDelayMs = 300;

/** Creates the planner's lease in the platform's table; safety rests on the epoch row, not on the lease. */
export const createLeadership = (options: LeadershipOptions): Leadership => {
    const { platform, timer, follower, vm, processId } = options;
    const lapseMs = options.lapseMs ?? defaultLapseMs;
    let lease: Row<PlannerLease> | undefined;
    let epoch: Row<PlannerEpoch> | undefined;
    let leaseChangedAtMs = timer.nowMs();
    let reachable = false;
    let resigned = false;
    let stop: Unsubscribe = () => {};

    const isOwn = (row: Row<PlannerLease> | Row<PlannerEpoch> | undefined): boolean =>
        row?.value.processId === processId && row.value.vm === vm;

    const seeLease = (row: Row<PlannerLease> | undefined): void => {
        if (row?.version !== lease?.version) {
            leaseChangedAtMs = timer.nowMs();
        }
        lease = row;
    };

    const poll = async (): Promise<void> => {
        const rows = await platform.scan<unknown>("control/");
        reachable = rows.ok;
        if (!rows.ok) {
            return;
        }
        const find = <Value>(key: string): Row<Value> | undefined =>
            rows.value.find(row => row.key === key) as Row<Value> | undefined;
        seeLease(find<PlannerLease>(leaseKey));
        epoch = find<PlannerEpoch>(epochKey);
        await follower.see(find<CurrentVersion>(currentVersionKey));
    };

    const renew = async (): Promise<void> => {
        const value: PlannerLease = { vm, processId, beat: (lease?.value.beat ?? 0) + 1 };
        const committed = await platform.commit({
            conditions: [{ key: leaseKey, version: lease?.version ?? 0 }],
            writes: [{ key: leaseKey, value }],
        });
        if (committed.ok) {
            seeLease({ key: leaseKey, version: committed.value.versions[leaseKey], value });
        }
        else if (committed.error.kind !== PlatformErrorKind.Unavailable) {
            await poll();
        }
    };

    const takeOver = async (): Promise<void> => {
        const value: PlannerEpoch = { vm, processId, epoch: (epoch?.value.epoch ?? 0) + 1 };
        const leaseValue: PlannerLease = { vm, processId, beat: 0 };
        await commitOnce<PlannerEpoch>(
            platform,
            {
                conditions: [
                    { key: leaseKey, version: lease?.version ?? 0 },
                    { key: epochKey, version: epoch?.version ?? 0 },
                ],
                writes: [{ key: epochKey, value }, { key: leaseKey, value: leaseValue }],
            },
            epochKey,
            written => written.processId === processId && written.epoch === value.epoch,
        );
        await poll();
    };

    const hasLapsed = (): boolean =>
        lease === undefined
        || lease.value.vm === ""
        || timer.nowMs() - leaseChangedAtMs > lapseMs + options.takeoverRank() * rankDelayMs;

    const beat = async (): Promise<void> => {
        await poll();
        if (!reachable || resigned) {
            return;
        }
        if (isOwn(lease) && isOwn(epoch)) {
            await renew();
        }
        else if (hasLapsed()) {
            await takeOver();
        }
    };

    const resign = async (): Promise<void> => {
        resigned = true;
        stop();
        if (isOwn(lease)) {
            await platform.commit({
                conditions: [{ key: leaseKey, version: lease?.version ?? 0 }],
                writes: [{ key: leaseKey, value: { vm: "", processId: "", beat: 0 } }],
            });
        }
    };

    const epochGuard = (): Condition => ({ key: epochKey, version: epoch?.version ?? 0 });

    return {
        plannerVm: () => lease?.value.vm === "" ? undefined : lease?.value.vm,
        isPlanner: () => !resigned && reachable && isOwn(lease) && isOwn(epoch),
        plannerId: () => `${vm}/${epoch?.value.epoch ?? 0}`,
        epochGuard,
        guards: () => [
            epochGuard(),
            { key: currentVersionKey, version: follower.rowVersion() },
        ],
        platformReachable: () => reachable,
        poll,
        start: () => {
            stop = timer.every(options.beatMs ?? defaultBeatMs, beat);
        },
        resign,
    };
};
