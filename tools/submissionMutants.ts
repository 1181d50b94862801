import type { Mutant } from "./mutants.js";

/** Mutants of the refusal of submissions while the table is unavailable. */
export const submissionMutants: Mutant[] = [
    {
        without: "refusing submissions unsent while the table answers nothing",
        file: "jobs/submissionGate.js",
        find: "return isOutage(evidence)",
        replace: "return false",
        tests: "submissionsWithoutTable",
        fails: "are refused unsent, never run",
    },
    {
        without: "keeping the submission gate open while one part alone is unavailable",
        file: "jobs/submissionGate.js",
        find: ".length >= minUnansweredJobParts",
        replace: ".length >= 0",
        tests: "submissionGate",
        fails: "closes only after operations on two parts",
    },
    {
        without: "trying other parts before the submission gate closes",
        file: "jobs/submissionAdmission.js",
        find: "contact.evidence(doubtAfterMs).unanswered > 0",
        replace: "false",
        tests: "submissionsWithoutTable",
        fails: "are refused unsent while none has",
    },
    {
        without: "keeping the submission gate open after a pause of the process",
        file: "jobs/submissionAdmission.js",
        find: "(wasDelayed || isDelayed())",
        replace: "false",
        tests: "submissionsWithoutTable",
        fails: "stays open when the process got no processor time",
    },
    {
        without: "sending the most urgent submissions first when the submission gate opens",
        file: "jobs/submissionGate.js",
        find: "Math.min(priority, lowestPriority) * openingStepMs",
        replace: "0",
        tests: "submissionGate",
        fails: "for priority 0 first",
    },
    {
        without: "counting a long poll as due at the end of its wait before the submission gate closes",
        file: "state/tableContact.js",
        find: "timer.nowMs() + longPollMs",
        replace: "timer.nowMs()",
        tests: "submissionGate",
        fails: "does not take a long poll",
    },
    {
        without: "remembering submissions that were sent when the gate is closed",
        file: "jobs/commands/acceptJob.js",
        find: "acceptanceOf[sentSubmissions.outcomeOf(id)]",
        replace: "Acceptance.NotRun",
        tests: "submissionsWithoutTable",
        fails: "are refused unsent, never run",
    },
    {
        without: "remembering submissions that were sent when a repeated write is refused",
        file: "jobs/commands/acceptJob.js",
        find: "earlier !== WriteOutcome.NotStored",
        replace: "false",
        tests: "submissionsWithoutTable",
        fails: "is not refused when it is repeated at once",
    },
];
