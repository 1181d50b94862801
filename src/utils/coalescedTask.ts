/**
 * Creates a function that performs a task, one run at a time. A call during a run is answered by one more run after it,
 * together with all other such calls; calls during that one do not delay its answer.
 */
export const createCoalescedTask = <Value>(task: () => Promise<Value>): () => Promise<Value> => {
    let running: Promise<Value> | undefined;
    let following: Promise<Value> | undefined;

    const run = (): Promise<Value> => {
        following = undefined;
        running = task().finally(() => {
            running = undefined;
        });
        return running;
    };

    return () => {
        if (running === undefined && following === undefined) {
            return run();
        }
        following ??= (running ?? Promise.resolve()).then(run, run);
        return following;
    };
};
