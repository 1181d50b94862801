/** The VMs that were seen to plan, by this VM's local copy of the lease. */
export interface RecentPlanners {
    /** Records the VM that planned last; empty if there is none. */
    observe(name: string): void;
    /** Names of the other VMs that planned, the latest first. */
    names(): readonly string[];
}

/** Terms change hands some times a day; the one before the last serves reads while its successor takes over. */
const maxPlanners = 3;

/** Creates a memory of the planners that `vm` has seen. */
export const createRecentPlanners = (vm: string): RecentPlanners => {
    let planners: readonly string[] = [];
    return {
        observe: name => {
            if (name !== "" && name !== vm && name !== planners[0]) {
                planners = [name, ...planners.filter(other => other !== name)].slice(0, maxPlanners);
            }
        },
        names: () => planners,
    };
};
