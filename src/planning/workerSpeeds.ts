/**
 * Estimates the relative speeds of workers from the rates at which tasks progressed on them. It addresses fleets in which
 * some workers are permanently slower than others, and declared run times that are off by half in either direction.
 */

/** Work that one worker did for a step, or that the workers of a gang did together. */
export interface SpeedObservation {
    /** Identifies the job, occurrence and step. */
    unitKey: string;
    /** Queue of the job: declared times of one queue are alike in their errors. */
    queue: string;
    /** Whether the workers ran the members of a gang, which progress as fast as the slowest of them. */
    gang: boolean;
    workerIds: readonly string[];
    /** Work done by declared time, divided by the time that it took. */
    rate: number;
    /** Number of runs that contributed. */
    runs: number;
    firstAtMs: number;
    lastAtMs: number;
}

/** What is known about the speed of a worker. */
export interface SpeedEstimate {
    /** Speed relative to the other workers in steps of a quarter; 1 unless there is clear evidence that it is slow. */
    speed: number;
    /** There is clear evidence that it is not slow. */
    isCleared: boolean;
    /** Number of observations. */
    observations: number;
    /** Time of the newest observation. */
    lastAtMs: number;
}

/** Estimates by worker. */
export type SpeedEstimates = ReadonlyMap<string, SpeedEstimate>;

/** Ratio to the others up to which an observation counts as slow: tasks of a step are uneven by up to 0.3. */
const slowRatio = 0.75;
/**
 * Weight of one task that was compared with others of its step. A comparison by declared time weighs 1, since declared
 * times are off by half: the chance that seven of nine such observations mislead is about 0.001.
 */
const stepWeight = 3;
/** Number of tasks of one step that count at most for a worker: a step may be unlike others in what it does there. */
const maxRunsCounted = 2;
/** Total weight from which a worker is judged: three observations within steps or nine by declared time. */
const minWeight = 3 * stepWeight;
/** Total weight below which a worker is not taken for slow any longer. */
const minWeightToStaySlow = stepWeight;
/** Share of the weight that has to agree before a worker is taken for slow, or cleared. */
const agreeingShare = 0.7;
/** Share of slow observations below which a worker is not taken for slow any longer. */
const staySlowShare = 0.5;
/** Time that the observations of a slow worker have to span: a pause of the worker may slow several runs at once. */
const minSpanMs = 3_000;
/** Number of different workers of a step from which its tasks are compared with each other. */
const minStepWorkers = 3;
/** Number of steps of a queue from which work is compared by declared time. */
const minQueueSteps = 15;
/** Number of members that may be to blame above which a slow gang says nothing: more of them are likely to be slow. */
const maxSuspects = 4;
/** Speeds are rounded to this step, so that noise does not order workers that are alike. */
const speedStep = 0.25;

/** An observation relative to others, as evidence about one worker. */
interface Evidence {
    ratio: number;
    weight: number;
    firstAtMs: number;
    lastAtMs: number;
}

const byValue = (left: number, right: number): number => left - right;

const medianOfSorted = (sorted: readonly number[]): number => {
    const middle = Math.floor(sorted.length / 2);
    return sorted.length % 2 === 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
};

/** Median of sorted values without one of them. */
const medianWithout = (sorted: readonly number[], value: number): number => {
    const others = [...sorted];
    others.splice(others.indexOf(value), 1);
    return medianOfSorted(others);
};

const groupBy = <Item>(items: readonly Item[], keyOf: (item: Item) => string): Map<string, Item[]> => {
    const groups = new Map<string, Item[]>();
    for (const item of items) {
        const group = groups.get(keyOf(item));
        if (group === undefined) {
            groups.set(keyOf(item), [item]);
        }
        else {
            group.push(item);
        }
    }
    return groups;
};

/** Speed of the slowest of several workers; 1 for those without an estimate. */
export const slowestOf = (workerIds: readonly string[], estimates: SpeedEstimates): number =>
    workerIds.reduce((slowest, id) => Math.min(slowest, estimates.get(id)?.speed ?? 1), 1);

/** Rate that the work would have had on workers that are not slow. */
const normalisedRate = ({ rate, workerIds }: SpeedObservation, previous: SpeedEstimates): number =>
    rate / slowestOf(workerIds, previous);

/** Steps of gangs and independent tasks of a queue are compared apart. */
const queueKeyOf = ({ queue, gang }: SpeedObservation): string => `${queue}|${gang}`;

/** Usual rate by queue: the median over its steps, which count once each however many tasks they have. */
const usualRates = (units: readonly SpeedObservation[][], previous: SpeedEstimates): Map<string, number> => {
    const usual = new Map<string, number>();
    for (const [key, unitsOfQueue] of groupBy(units, ([first]) => queueKeyOf(first))) {
        if (unitsOfQueue.length >= minQueueSteps) {
            const medians = unitsOfQueue.map(unit =>
                medianOfSorted(unit.map(observation => normalisedRate(observation, previous)).sort(byValue))
            );
            usual.set(key, medianOfSorted(medians.sort(byValue)));
        }
    }
    return usual;
};

/**
 * Members of a gang that its rate is evidence about. A fast gang has no slow member. A slow one has at least one: a member
 * that is known to be slow, or else one of those that nothing is known about.
 */
const concernedMembers = (
    { workerIds }: SpeedObservation,
    isSlow: boolean,
    previous: SpeedEstimates,
): readonly string[] => {
    if (!isSlow) {
        return workerIds;
    }
    const knownSlow = workerIds.filter(id => (previous.get(id)?.speed ?? 1) < 1);
    return knownSlow.length > 0 ? knownSlow : workerIds.filter(id => previous.get(id)?.isCleared !== true);
};

/** Collects the evidence about each worker. */
const collectEvidence = (
    observations: readonly SpeedObservation[],
    previous: SpeedEstimates,
): Map<string, Evidence[]> => {
    const evidence = new Map<string, Evidence[]>();
    const add = (workerId: string, { firstAtMs, lastAtMs }: SpeedObservation, ratio: number, weight: number): void => {
        const ofWorker = evidence.get(workerId) ?? [];
        ofWorker.push({ ratio, weight, firstAtMs, lastAtMs });
        evidence.set(workerId, ofWorker);
    };

    const addWithinStep = (unit: readonly SpeedObservation[]): void => {
        const rates = unit.map(observation => normalisedRate(observation, previous));
        const sorted = [...rates].sort(byValue);
        unit.forEach((observation, index) => {
            const ratio = observation.rate / medianWithout(sorted, rates[index]);
            add(observation.workerIds[0], observation, ratio, stepWeight * Math.min(observation.runs, maxRunsCounted));
        });
    };

    const addByDeclaredTime = (observation: SpeedObservation, usualRate: number): void => {
        const ratio = observation.rate / usualRate;
        const isSlow = ratio <= slowRatio;
        const concerned = concernedMembers(observation, isSlow, previous);
        if (!isSlow || concerned.length <= maxSuspects) {
            const weight = isSlow ? 1 / concerned.length : 1;
            concerned.forEach(id => add(id, observation, ratio, weight));
        }
    };

    const units = [...groupBy(observations, ({ unitKey }) => unitKey).values()];
    const usual = usualRates(units, previous);
    for (const unit of units) {
        const usualRate = usual.get(queueKeyOf(unit[0]));
        if (!unit[0].gang && unit.length >= minStepWorkers) {
            addWithinStep(unit);
        }
        else if (usualRate !== undefined) {
            unit.forEach(observation => addByDeclaredTime(observation, usualRate));
        }
    }
    return evidence;
};

const sumWeights = (evidence: readonly Evidence[]): number => evidence.reduce((sum, { weight }) => sum + weight, 0);

const weightedMedianRatio = (evidence: readonly Evidence[]): number => {
    const half = sumWeights(evidence) / 2;
    let weightSoFar = 0;
    let median = 1;
    for (const { ratio, weight } of [...evidence].sort((left, right) => left.ratio - right.ratio)) {
        if (weightSoFar < half) {
            median = ratio;
        }
        weightSoFar += weight;
    }
    return median;
};

const spanMs = (evidence: readonly Evidence[]): number =>
    evidence.reduce((latest, { lastAtMs }) => Math.max(latest, lastAtMs), Number.NEGATIVE_INFINITY)
    - evidence.reduce((earliest, { firstAtMs }) => Math.min(earliest, firstAtMs), Number.POSITIVE_INFINITY);

/** Rounds the speed of a slow worker to a step below 1. */
const roundSpeed = (ratio: number): number =>
    Math.min(1 - speedStep, Math.max(speedStep, Math.round(ratio / speedStep) * speedStep));

const judge = (evidence: readonly Evidence[], wasSlow: boolean): SpeedEstimate => {
    const slowEvidence = evidence.filter(({ ratio }) => ratio <= slowRatio);
    const weight = sumWeights(evidence);
    const slowShare = sumWeights(slowEvidence) / weight;
    const isSlow = wasSlow
        ? weight >= minWeightToStaySlow && slowShare >= staySlowShare
        : weight >= minWeight && slowShare >= agreeingShare && spanMs(slowEvidence) >= minSpanMs;
    return {
        speed: isSlow ? roundSpeed(weightedMedianRatio(evidence)) : 1,
        isCleared: weight >= minWeight && 1 - slowShare >= agreeingShare,
        observations: evidence.length,
        lastAtMs: evidence.reduce((latest, { lastAtMs }) => Math.max(latest, lastAtMs), Number.NEGATIVE_INFINITY),
    };
};

/**
 * Estimates the speeds of all workers with observations.
 *
 * @param previous estimates from before, by which a slow gang is explained, and which change only with clear evidence
 */
export const estimateSpeeds = (
    observations: readonly SpeedObservation[],
    previous: SpeedEstimates,
): Map<string, SpeedEstimate> => {
    const estimates = new Map<string, SpeedEstimate>();
    for (const [workerId, evidence] of collectEvidence(observations, previous)) {
        estimates.set(workerId, judge(evidence, (previous.get(workerId)?.speed ?? 1) < 1));
    }
    return estimates;
};
