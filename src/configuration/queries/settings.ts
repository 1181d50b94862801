import type { CallsStatement, JobsStatement, Snapshot, Statement } from "../types.js";

/** A setting together with the statement that it comes from. */
export interface Sourced<Value> {
    value: Value;
    statement: Statement;
}

/** How calls of a customer's service are to be treated. */
export const callsSettingOf = (
    snapshot: Snapshot,
    customer: string,
    service: string,
): Sourced<CallsStatement> | undefined => {
    const statement = snapshot.statements.find(candidate =>
        candidate.calls !== undefined && candidate.customer === customer && candidate.service === service
    );
    return statement?.calls === undefined ? undefined : { value: statement.calls, statement };
};

/** How jobs of a customer's service are to be treated. */
export const jobsSettingOf = (
    snapshot: Snapshot,
    customer: string,
    service: string,
): Sourced<JobsStatement> | undefined => {
    const statement = snapshot.statements.find(candidate =>
        candidate.jobs !== undefined && candidate.customer === customer && candidate.service === service
    );
    return statement?.jobs === undefined ? undefined : { value: statement.jobs, statement };
};

/** Availability zones that are out of service, each with the statement that takes it out. */
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

/** Smallest limit that the statements set on a customer's accelerators. */
export const maxAcceleratorsOf = (snapshot: Snapshot, customer: string): number =>
    snapshot.statements
        .filter(statement => statement.customer === customer)
        .reduce(
            (least, statement) => Math.min(least, statement.jobs?.maxAccelerators ?? least),
            Number.POSITIVE_INFINITY,
        );

/** Statements that stand behind a customer, a service, an availability zone or a statement's name. */
export const explain = (snapshot: Snapshot, subject: string): Statement[] =>
    snapshot.statements.filter(statement =>
        statement.name === subject
        || statement.customer === subject
        || statement.service === subject
        || statement.provenance.file === subject
        || (statement.availabilityZonesOut ?? []).includes(subject)
    );
