import type { CallsStatement, Intent, JobsStatement, Snapshot, Statement } from "../types.js";

/** A setting and the statement that sets it. */
export interface ResolvedSetting<Value> {
    value: Value;
    statement: Statement;
}

/** Finds the settings of a customer's calls to a service; `undefined` if no statement sets them. */
export const callsSettingOf = (
    snapshot: Snapshot,
    customer: string,
    service: string,
): ResolvedSetting<CallsStatement> | undefined => {
    const statement = snapshot.statements.find(candidate =>
        candidate.calls !== undefined && candidate.customer === customer && candidate.service === service
    );
    return statement?.calls === undefined ? undefined : { value: statement.calls, statement };
};

/** Finds the settings of a customer's jobs of a service; `undefined` if no statement sets them. */
export const jobsSettingOf = (
    snapshot: Snapshot,
    customer: string,
    service: string,
): ResolvedSetting<JobsStatement> | undefined => {
    const statement = snapshot.statements.find(candidate =>
        candidate.jobs !== undefined && candidate.customer === customer && candidate.service === service
    );
    return statement?.jobs === undefined ? undefined : { value: statement.jobs, statement };
};

/** Availability zones that are out of service, each with the last statement that takes it out. */
export const zonesOutOf = (snapshot: Snapshot): Map<string, Statement> => {
    const zones = new Map<string, Statement>();
    for (const statement of snapshot.statements) {
        for (const zone of statement.availabilityZonesOut ?? []) {
            zones.set(zone, statement);
        }
    }
    return zones;
};

/** Whether any statement names the customer. */
export const isKnownCustomer = (snapshot: Snapshot, customer: string): boolean =>
    snapshot.statements.some(statement => statement.customer === customer);

/** Lowest limit on a customer's accelerators among its statements; infinity if none sets one. */
export const maxAcceleratorsOf = ({ statements }: { statements: readonly Intent[]; }, customer: string): number =>
    statements
        .filter(statement => statement.customer === customer)
        .reduce(
            (limit, statement) => Math.min(limit, statement.jobs?.maxAccelerators ?? limit),
            Number.POSITIVE_INFINITY,
        );

/** Finds the statements whose name, file, customer, service or availability zone out of service is the subject. */
export const explain = (snapshot: Snapshot, subject: string): Statement[] =>
    snapshot.statements.filter(statement =>
        statement.name === subject
        || statement.customer === subject
        || statement.service === subject
        || statement.provenance.file === subject
        || (statement.availabilityZonesOut ?? []).includes(subject)
    );
