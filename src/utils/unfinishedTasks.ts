/** Tasks that a stop waits for. */
export interface UnfinishedTasks {
    /** Counts the task until it settles, and returns it. */
    track<Value>(task: Promise<Value>): Promise<Value>;
    count(): number;
    /** Resolves when there are none, also of those that start meanwhile. */
    whenNone(): Promise<void>;
}

/** Creates the record of unfinished tasks, empty at first. */
export const createUnfinishedTasks = (): UnfinishedTasks => {
    const tasks = new Set<Promise<unknown>>();
    return {
        track: task => {
            const remove = (): void => {
                tasks.delete(task);
            };
            tasks.add(task);
            task.then(remove, remove);
            return task;
        },
        count: () => tasks.size,
        whenNone: async () => {
            while (tasks.size > 0) {
                await Promise.allSettled(tasks);
            }
        },
    };
};
