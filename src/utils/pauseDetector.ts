import type { TimerService, Unsubscribe } from "./timer.js";

/** Options of {@link createPauseDetector}. */
export interface PauseDetectorOptions {
    timer: TimerService;
    /** Brings what the process knows up to date after a pause. */
    onResume: () => Promise<void>;
    /** Gap between two ticks that counts as a pause. @default 1500 */
    minPauseMs?: number;
    /** Longest time that the process waits for `onResume`. @default 2000 */
    maxRefreshMs?: number;
}

/** Notices that the process was frozen, so that it does not act on what it knew before. */
export interface PauseDetector {
    /** Whether a pause has ended and what the process knows is not up to date yet. */
    isStale(): boolean;
    stop: Unsubscribe;
}

const tickMs = 200;
const defaultMinPauseMs = 1_500;
const defaultMaxRefreshMs = 2_000;

/** Creates a detector that ticks on the timer service. */
export const createPauseDetector = (options: PauseDetectorOptions): PauseDetector => {
    const { timer, onResume } = options;
    const minPauseMs = options.minPauseMs ?? defaultMinPauseMs;
    let lastTickMs = timer.nowMs();
    let refreshing = false;

    const wasPaused = (): boolean => timer.nowMs() - lastTickMs > minPauseMs;

    const refresh = async (): Promise<void> => {
        refreshing = true;
        await Promise.race([onResume(), timer.sleep(options.maxRefreshMs ?? defaultMaxRefreshMs)]);
        refreshing = false;
    };

    const tick = (): void => {
        if (wasPaused() && !refreshing) {
            void refresh();
        }
        lastTickMs = timer.nowMs();
    };

    return {
        isStale: () => refreshing || wasPaused(),
        stop: timer.every(tickMs, tick),
    };
};
