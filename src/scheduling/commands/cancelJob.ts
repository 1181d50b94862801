import { PlatformErrorKind } from "../../platform/types.js";
import type { PlatformClient } from "../../platform/types.js";
import { fail } from "../../utils/result.js";
import type { Result } from "../../utils/result.js";
import { changeJob, hasEnded, readJob } from "../jobTable.js";
import type { StoredJob } from "../jobTable.js";

/** Why a cancellation was not recorded. */
export type CancelError =
    | { kind: "notFound"; detail: string; }
    | { kind: "unavailable"; detail: string; };

const maxTries = 5;

/** Records that a job is to be cancelled; a job that has ended is answered as it is. */
export const cancelJob = async (platform: PlatformClient, jobId: string): Promise<Result<StoredJob, CancelError>> => {
    for (let tries = 0; tries < maxTries; tries++) {
        const read = await readJob(platform, jobId);
        if (!read.ok) {
            return fail({ kind: "unavailable", detail: "the job could not be read" });
        }
        if (read.value === undefined) {
            return fail({ kind: "notFound", detail: `no job "${jobId}"` });
        }
        if (hasEnded(read.value.record.state) || read.value.record.cancelRequested) {
            return { ok: true, value: read.value };
        }
        const changed = await changeJob(platform, read.value, { cancelRequested: true }, [], true);
        if (changed.ok) {
            return changed;
        }
        if (changed.error.kind !== PlatformErrorKind.Conflict) {
            return fail({ kind: "unavailable", detail: changed.error.detail });
        }
    }
    return fail({ kind: "unavailable", detail: "the job kept changing" });
};
