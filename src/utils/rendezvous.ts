import { createHash } from "node:crypto";

const scoreOf = (key: string, candidate: string): string =>
    createHash("sha1").update(`${key}\n${candidate}`).digest("hex");

/** Orders candidates by rendezvous hash, so that every process ranks the same candidates alike for a key. */
export const rankCandidates = (key: string, candidates: readonly string[]): string[] => {
    const scored = candidates.map(candidate => ({ candidate, score: scoreOf(key, candidate) }));
    scored.sort((left, right) => left.score < right.score ? 1 : -1);
    return scored.map(entry => entry.candidate);
};
