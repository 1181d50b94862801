/** Different jobs that must fail on a worker, without a success between them, before it is left out. */
const failuresToEject = 3;
/** Time after which an ejected worker is tried again. */
const ejectionMs = 10 * 60_000;

/** Tells workers that fail everything from jobs that fail everywhere. */
export interface WorkerHealth {
    /** Tasks of the job failed on one of these workers. */
    recordFailure(jobId: string, workers: readonly string[], nowMs: number): void;
    /** A job finished on these workers. */
    recordSuccess(workers: readonly string[]): void;
    /** The job itself is to blame; its failures no longer count against any worker. */
    clearBlame(jobId: string): void;
    isEjected(worker: string, nowMs: number): boolean;
    ejected(nowMs: number): string[];
}

/** Creates the record of failures per worker; it lives as long as the planner. */
export const createWorkerHealth = (): WorkerHealth => {
    const blamed = new Map<string, Set<string>>();
    const ejectedUntilMs = new Map<string, number>();

    const jobsBlamedOn = (worker: string): Set<string> => {
        const jobs = blamed.get(worker) ?? new Set();
        blamed.set(worker, jobs);
        return jobs;
    };

    const mostBlamed = (workers: readonly string[]): string | undefined =>
        [...workers].sort((left, right) => jobsBlamedOn(right).size - jobsBlamedOn(left).size).at(0);

    const clearBlame = (jobId: string): void => blamed.forEach(jobs => jobs.delete(jobId));

    /** What an ejected worker explains is not held against the other members of its gangs. */
    const eject = (worker: string, nowMs: number): void => {
        ejectedUntilMs.set(worker, nowMs + ejectionMs);
        [...jobsBlamedOn(worker)].forEach(clearBlame);
    };

    const isEjected = (worker: string, nowMs: number): boolean => (ejectedUntilMs.get(worker) ?? -Infinity) > nowMs;

    return {
        recordFailure: (jobId, workers, nowMs) => {
            workers.forEach(worker => jobsBlamedOn(worker).add(jobId));
            const worker = mostBlamed(workers);
            if (worker !== undefined && jobsBlamedOn(worker).size >= failuresToEject) {
                eject(worker, nowMs);
            }
        },
        recordSuccess: workers => workers.forEach(worker => blamed.delete(worker)),
        clearBlame,
        isEjected,
        ejected: nowMs => [...ejectedUntilMs.keys()].filter(worker => isEjected(worker, nowMs)),
    };
};
