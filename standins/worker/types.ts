/** Faults that can be switched on for one worker while it runs. */
export interface WorkerSwitches {
    /** Answers nothing; leases go on lapsing. */
    paused: boolean;
    /** Every task and call that starts fails. */
    failEverything: boolean;
    /** Delay before the answer of a call is sent. */
    lateMs: number;
    /** Share of call answers that carry another request's identity. */
    crossedShare: number;
    /** Share of call answers that are cut short. */
    cutShortShare: number;
    /** Share of call answers that are lost after the call ran. */
    lostShare: number;
    leaving: boolean;
    /** Says in every answer that it is leaving, without refusing yet. */
    saysLeaving: boolean;
    /** The progress of what ends is lost. */
    ignoreCheckpoint: boolean;
}

/** What happened on a worker, for checking what must hold from the outside. */
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
    /** Name of the task and number of its run. */
    task?: string;
    run?: number;
    requestId?: string;
    /** Key of the call, if the caller gave one. */
    key?: string;
    leaving?: boolean;
}

/** Records an event. */
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
