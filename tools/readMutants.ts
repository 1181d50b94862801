import type { Mutant } from "./mutants.js";

/** Mutants of what VMs know of the phases of jobs without the table. */
export const readMutants: Mutant[] = [
    {
        without: "asking the planner for a phase that the table does not answer",
        file: "node/phaseKnowledge.js",
        find: "recentPlanners.names().map(",
        replace: "[].map(",
        tests: "endedJobReads",
        fails: "while the job's part of the table is silent for all VMs",
    },
    {
        without: "asking also the VM that planned before",
        file: "execution/recentPlanners.js",
        find: ".slice(0, maxPlanners)",
        replace: ".slice(0, 1)",
        tests: "endedJobReads",
        fails: "and the next planner's process was killed",
    },
    {
        without: "a planner's knowledge of jobs that ended before its term",
        file: "execution/planner.js",
        find: "reportStoredPhase(options, jobId, stored);",
        replace: "",
        tests: "endedJobReads",
        fails: "and the former planner's process was killed",
    },
    {
        without: "telling a phase that is not final only while planning",
        file: "node/phaseKnowledge.js",
        find: "isEnded(known.phase) || isPlanning()",
        replace: "true",
        tests: "endedJobReads",
        fails: "is not answered from the memory of a VM whose term has ended",
    },
];
