/** Outcome of an operation that can fail in ways its caller must handle. */
export type Result<Value, Failure> = { ok: true; value: Value; } | { ok: false; error: Failure; };

/** Wraps a value as a successful result. */
export const succeed = <Value>(value: Value): { ok: true; value: Value; } => ({ ok: true, value });

/** Wraps an error as a failed result. */
export const fail = <Failure>(error: Failure): { ok: false; error: Failure; } => ({ ok: false, error });
