import { EndKind, Refusal } from "../../src/execution/types.js";
import type { HoldOrder, OrderError, StartOrder } from "../../src/execution/types.js";
import type { JsonAnswer } from "../../src/utils/http.js";
import type { Result } from "../../src/utils/result.js";
import type { TimerService } from "../../src/utils/timer.js";
import type { RefusedOrder, StopOrder } from "../../src/workers/client.js";
import type { RunSpan, WorkerModel } from "../runs/workerModel.js";
import type { WorkerEvent } from "./types.js";

const endEventKinds: Record<EndKind, WorkerEvent["kind"]> = {
    [EndKind.Done]: "taskFinished",
    [EndKind.Failed]: "taskFailed",
    [EndKind.Stopped]: "taskStopped",
    [EndKind.Lapsed]: "taskLapsed",
    [EndKind.Broken]: "taskStopped",
    [EndKind.Alone]: "taskStopped",
};

/** Converts a span that begins or ends to an event. */
export const toSpanEvent = (span: RunSpan): Pick<WorkerEvent, "kind" | "jobId" | "task" | "run"> => ({
    kind: span.toMs === undefined ? "taskRunning" : endEventKinds[span.kind ?? EndKind.Stopped],
    // the job's id may contain dots; occurrence, step and index are the last three parts
    jobId: span.task.split(".").slice(0, -3).join("."),
    task: span.task,
    run: span.run,
});

const toAnswer = (result: Result<unknown, OrderError>): JsonAnswer => {
    if (result.ok) {
        return { status: 200, body: result.value };
    }
    const { error } = result;
    const refused: RefusedOrder = error.kind === "refused"
        ? { refusal: error.refusal, clockMs: error.clockMs, detail: error.detail }
        : { refusal: Refusal.Invalid, detail: error.detail };
    return { status: 409, body: refused };
};

/** Handles a start, stop or hold order to a worker. */
export const handleRunOrder = async (
    model: WorkerModel,
    timer: TimerService,
    path: string,
    body: unknown,
): Promise<JsonAnswer> => {
    switch (path) {
        case "/v1/runs/start":
            return toAnswer(model.start(body as StartOrder));
        case "/v1/runs/stop": {
            const { task, run, fencingToken } = body as StopOrder;
            return toAnswer(model.stop(task, run, fencingToken));
        }
        case "/v1/runs/hold": {
            const order = body as HoldOrder;
            const report = model.hold(order);
            if (!report.ok || report.value.ended.length > 0 || order.waitMs === undefined) {
                return toAnswer(report);
            }
            await waitForEndedTask(model, timer, order.waitMs);
            return toAnswer(model.hold({ ...order, untilClockMs: undefined }));
        }
        default:
            return { status: 404, body: { detail: "no such path" } };
    }
};

/** Resolves when a run ends or after `waitMs`. */
export const waitForEndedTask = (model: WorkerModel, timer: TimerService, waitMs: number): Promise<void> =>
    new Promise(resolve => {
        const cancel = timer.after(waitMs, resolve);
        model.onceEnded(() => {
            cancel();
            resolve();
        });
    });
