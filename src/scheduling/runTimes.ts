import type { JobSpec } from "./types.js";

/** Share of the newest observation in the learned error. */
const learningRate = 0.2;
const minFactor = 0.05;
const maxFactor = 20;

/** Learns how far declared run times are off, per customer and service. */
export interface RunTimeModel {
    /** Records how long a finished job really ran. */
    observe(job: JobSpec, actualMs: number): void;
    /** Estimates the run time from the declared one. */
    estimateMs(job: JobSpec): number;
}

/** Creates a model that starts by believing what is declared. */
export const createRunTimeModel = (): RunTimeModel => {
    const logFactors = new Map<string, number>();
    const keyOf = (job: JobSpec): string => `${job.customer}/${job.service}`;
    return {
        observe: (job, actualMs) => {
            const factor = Math.min(maxFactor, Math.max(minFactor, actualMs / Math.max(1, job.declaredRunTimeMs)));
            const known = logFactors.get(keyOf(job)) ?? 0;
            logFactors.set(keyOf(job), known + learningRate * (Math.log(factor) - known));
        },
        estimateMs: job => job.declaredRunTimeMs * Math.exp(logFactors.get(keyOf(job)) ?? 0),
    };
};
