/** The VMs that were seen to hold the planner's term, by this VM's local copy of the lease. */
export interface RecentPlanners {
    /** Records the holder of the lease; empty while nobody holds it. */
    observe(holder: string): void;
    /** Names of the other VMs that held it, the latest first. */
    names(): readonly string[];
}

/** Terms change hands some times a day; the one before the last serves reads while its successor takes over. */
const maxPlanners = 3;

/** Creates a memory of the planners that `vm` has seen. */
export const createRecentPlanners = (vm: string): RecentPlanners => {
    let planners: readonly string[] = [];
    return {
        observe: holder => {
            if (holder !== "" && holder !== vm && holder !== planners[0]) {
                planners = [holder, ...planners.filter(name => name !== holder)].slice(0, maxPlanners);
            }
        },
        names: () => planners,
    };
};
