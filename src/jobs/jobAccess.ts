import type { JobSubmission } from "./types.js";

/** Who asks for a job. */
export interface JobAccess {
    /** Customer of the API key. @default the request has none */
    customer?: string;
    /** Name of the queue, if it needs no API key. */
    publicQueue?: string;
}

/** Owner of a job. */
export type JobOwner = Pick<JobSubmission, "customer" | "queue">;

/** Whether a job may be read and cancelled: by its customer, by all if it has none, and on its queue if that is public. */
export const mayAccess = ({ customer, queue }: JobOwner, access: JobAccess | undefined): boolean =>
    access === undefined || customer === undefined || customer === access.customer || queue === access.publicQueue;
