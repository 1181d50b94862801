/** Describes a thrown value for a log line, with its stack if it has one. */
export const describeUnexpected = (thrown: unknown): string =>
    thrown instanceof Error ? thrown.stack ?? thrown.message : String(thrown);
