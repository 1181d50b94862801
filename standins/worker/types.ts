/** Faults that can be switched on and off for one worker while it runs. */
export interface WorkerSwitches {
    /** Sends no answers; runs go on and leases expire as usual. */
    paused: boolean;
    /** Fails every task that starts and every call that ends. */
    failEverything: boolean;
    /** Delay before the answer of a call is sent. */
    lateMs: number;
    /** Share of call answers that carry the id of another request. */
    crossedShare: number;
    /** Share of call answers whose body is truncated. */
    cutShortShare: number;
    /** Share of call answers that are not sent although the call ran. */
    lostShare: number;
    /** Refuses calls and says in every answer that it is leaving. */
    leaving: boolean;
    /** Says in every answer that it is leaving, but still accepts calls. */
    saysLeaving: boolean;
    /** Reports empty checkpoints, so the progress of its runs is lost. */
    ignoreCheckpoint: boolean;
}

/** Something that happened on a worker, recorded for the checks of the soak test. */
export interface WorkerEvent {
    /** Wall-clock time. */
    atMs: number;
    worker: string;
    availabilityZone: string;
    kind:
        | "taskRunning"
        | "taskFinished"
        | "taskFailed"
        | "taskStopped"
        | "taskLapsed"
        | "callStarted"
        | "callEnded"
        | "callRefused";
    jobId?: string;
    /** Id of the task: `jobId.occurrence.step.index`. */
    task?: string;
    /** Number of the task's run. */
    run?: number;
    requestId?: string;
    /** Key of the call, if it has one. */
    key?: string;
    /** Set if the worker was leaving at that time. */
    leaving?: boolean;
}

/** Records an event of a worker. */
export type RecordEvent = (event: Omit<WorkerEvent, "atMs" | "worker" | "availabilityZone">) => void;

/** Creates the switches of a healthy worker. */
export const createSwitches = (): WorkerSwitches => ({
    paused: false,
    failEverything: false,
    lateMs: 0,
    crossedShare: 0,
    cutShortShare: 0,
    lostShare: 0,
    leaving: false,
    saysLeaving: false,
    ignoreCheckpoint: false,
});
