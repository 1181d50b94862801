/** Mean and half the width of its 95 % confidence interval. */
export interface Estimate {
    mean: number;
    /** Not a number for a single value. */
    halfWidth: number;
}

/** Two-sided 95 % quantiles of Student's t distribution for 1 to 10 degrees of freedom. */
const tQuantiles = [12.71, 4.3, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23];
const tQuantileOfMore = 2.05;

/** Estimates the mean of a sample; the list must not be empty. */
export const estimateMean = (values: readonly number[]): Estimate => {
    const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
    const variance = values.reduce((sum, value) => sum + (value - mean) ** 2, 0) / (values.length - 1);
    const quantile = tQuantiles[values.length - 2] ?? tQuantileOfMore;
    return { mean, halfWidth: quantile * Math.sqrt(variance / values.length) };
};

/** Formats an estimate with three decimals. */
export const formatEstimate = ({ mean, halfWidth }: Estimate): string =>
    `${mean.toFixed(3)} +- ${Number.isNaN(halfWidth) ? "-" : halfWidth.toFixed(3)}`;
