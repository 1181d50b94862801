import type { TimerService, Unsubscribe } from "./timer.js";

/** Options of {@link createPauseDetector}. */
export interface PauseDetectorOptions {
    timer: TimerService;
    /** Refreshes the local state of the process after a pause. */
    onResume: () => Promise<void>;
    /** Time between two ticks above which the process counts as paused. @default 1500 */
    minPauseMs?: number;
    /** Time after which the state counts as refreshed even if `onResume` has not finished. @default 2000 */
    maxRefreshMs?: number;
}

/** Detects that the process was paused, so that it does not act on outdated state. */
export interface PauseDetector {
    /** Whether the process was paused and its state has not been refreshed since. */
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
    let lastTickAtMs = timer.nowMs();
    let refreshing = false;

    const wasPaused = (): boolean => timer.nowMs() - lastTickAtMs > minPauseMs;

    const refresh = async (): Promise<void> => {
        refreshing = true;
        await Promise.race([onResume(), timer.sleep(options.maxRefreshMs ?? defaultMaxRefreshMs)]);
        refreshing = false;
    };

    const tick = (): void => {
        if (wasPaused() && !refreshing) {
            void refresh();
        }
        lastTickAtMs = timer.nowMs();
    };

    return {
        isStale: () => refreshing || wasPaused(),
        stop: timer.every(tickMs, tick),
    };
};
