import { describeUnexpected } from "../utils/describeUnexpected.js";
import { fail } from "../utils/result.js";
import type { Result } from "../utils/result.js";
import type { OrderError, WorkerClient } from "./types.js";

/** Wraps a client so that an exception becomes an order without an answer, whose outcome is unknown. */
export const createGuardedClient = (client: WorkerClient): WorkerClient => {
    const guard = async <Value>(
        order: () => Promise<Result<Value, OrderError>>,
    ): Promise<Result<Value, OrderError>> => {
        try {
            return await order();
        }
        catch (error) {
            return fail({ kind: "noAnswer", detail: `unexpected error: ${describeUnexpected(error)}` });
        }
    };
    return {
        start: order => guard(() => client.start(order)),
        stop: (task, run, fencingToken) => guard(() => client.stop(task, run, fencingToken)),
        hold: order => guard(() => client.hold(order)),
        pace: (task, run, percent, fencingToken) => guard(() => client.pace(task, run, percent, fencingToken)),
        close: () => client.close(),
    };
};
