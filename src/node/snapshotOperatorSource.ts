import type { ConfigurationFollower } from "../configuration/follower.js";
import { queueConfigurationOf } from "../configuration/queries/queueConfiguration.js";
import { zonesOutOf } from "../configuration/queries/settings.js";
import type { Snapshot } from "../configuration/types.js";
import type { OperatorSource, OperatorState } from "../queues/types.js";
import type { TimerService } from "../utils/timer.js";

const toOperatorState = (snapshot: Snapshot, maxBodyBytes: number): OperatorState => ({
    configuration: queueConfigurationOf(snapshot, maxBodyBytes),
    evacuatedZones: new Set(zonesOutOf(snapshot).keys()),
});

/** Creates the source of the operator state that follows the published configuration snapshots. */
export const createSnapshotOperatorSource = (
    follower: ConfigurationFollower,
    timer: TimerService,
    maxBodyBytes: number,
): OperatorSource => {
    let state = toOperatorState(follower.current(), maxBodyBytes);
    follower.subscribe(snapshot => {
        state = toOperatorState(snapshot, maxBodyBytes);
    });
    return {
        current: () => state,
        ageMs: () => timer.nowMs() - (follower.confirmedAtMs() ?? Number.NEGATIVE_INFINITY),
        onChange: listener => {
            follower.subscribe(listener);
        },
    };
};
