/** Tries of one start order so far; times are monotonic. */
export interface StartTries {
    count: number;
    firstSentAtMs: number;
    lastSentAtMs: number;
}

/** Number of times that a start order of a gang member is sent at most. */
const maxStartTries = 4;
/** Time between two tries; a connection that is refused at once must not use up all tries in a moment. */
const startRetryIntervalMs = 300;
/**
 * Time that a try but the last waits for its answer, which usually takes some milliseconds: the other members work only
 * once all have started.
 */
const tryTimeoutMs = 300;
/**
 * Time after the first try up to which another one is sent. Its answer may take 0.9 s, and the other members wait for at
 * least 3 s: 2 s after the first try it is known whether the gang has to be stopped.
 */
const lastRetryAfterMs = 1_100;

/** Delay before a start order without an answer is sent again; `undefined` if it is not sent again. */
export const startRetryDelayMs = (tries: StartTries, nowMs: number): number | undefined => {
    const sendAtMs = Math.max(nowMs, tries.lastSentAtMs + startRetryIntervalMs);
    return tries.count < maxStartTries && sendAtMs - tries.firstSentAtMs <= lastRetryAfterMs
        ? sendAtMs - nowMs
        : undefined;
};

/** Time that a try waits for its answer; `undefined` for the usual time, which the last try waits. */
export const startTimeoutMs = ({ count }: StartTries): number | undefined =>
    count < maxStartTries ? tryTimeoutMs : undefined;
