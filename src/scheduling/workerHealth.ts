/** Different jobs that must fail on a worker, without a success between them, before it is left out. */
const failuresToEject = 3;

/** Tells workers that fail everything from jobs that fail everywhere. */
export interface WorkerHealth {
    /** Tasks of the job failed on these workers. */
    recordFailure(jobId: string, workers: readonly string[]): void;
    /** A job finished on these workers. */
    recordSuccess(workers: readonly string[]): void;
    /** The job itself is to blame; its failures no longer count against any worker. */
    clearBlame(jobId: string): void;
    isEjected(worker: string): boolean;
    ejected(): string[];
}

/** Creates the record of failures per worker; it lives as long as the planner. */
export const createWorkerHealth = (): WorkerHealth => {
    const blamed = new Map<string, Set<string>>();
    const isEjected = (worker: string): boolean => (blamed.get(worker)?.size ?? 0) >= failuresToEject;
    return {
        recordFailure: (jobId, workers) => {
            for (const worker of workers) {
                const jobs = blamed.get(worker) ?? new Set();
                jobs.add(jobId);
                blamed.set(worker, jobs);
            }
        },
        recordSuccess: workers => workers.forEach(worker => blamed.delete(worker)),
        clearBlame: jobId => blamed.forEach(jobs => jobs.delete(jobId)),
        isEjected,
        ejected: () => [...blamed.keys()].filter(isEjected),
    };
};
