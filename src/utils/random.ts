import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const uint32Range = 2 ** 32;

/** Source of uniform random numbers in [0, 1). */
export type Random = () => number;

/** Creates a pseudorandom generator; the same seed yields the same sequence. */
export const createRandom = (seed: number): Random => {
    const generator = xoroshiro128plus(seed);
    return () => (generator.next() >>> 0) / uint32Range;
};

/** Picks a random element; the list must not be empty. */
export const pickOne = <Element>(random: Random, elements: readonly Element[]): Element =>
    elements[Math.floor(random() * elements.length)];
