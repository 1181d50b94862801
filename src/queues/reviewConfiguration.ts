/** Reviews a configuration before it is published: what can never match, what contradicts, what would change. */
import type { Queue, QueueConfiguration, QueueCustomer } from "./types.js";

/** Kinds of findings of a review. */
export enum FindingKind {
    /** A field cannot be read or has a value that is not allowed. */
    Invalid = "invalid",
    /** An entry that no request or job can ever match. */
    NeverMatches = "neverMatches",
    /** Limits of which not all can hold. */
    Contradiction = "contradiction",
    /** A difference from the version in force. */
    Change = "change",
}

/** One finding, with the place of the entry that it is about. */
export interface Finding {
    kind: FindingKind;
    /** For example `queue "bookings"`. */
    place: string;
    /** Name of the customer that it is about. @default it is about no single customer */
    customer?: string;
    detail: string;
}

/** What a configuration is reviewed against. */
export interface ReviewContext {
    /** Version in force. @default changes are not listed */
    inForce?: QueueConfiguration;
    /** Accelerators of all workers. @default guarantees are not compared with them */
    totalAccelerators?: number;
}

const placeOfQueue = ({ name }: Queue): string => `queue "${name}"`;
const placeOfCustomer = ({ name }: QueueCustomer): string => `customer "${name}"`;

/** Reports each entry whose key an earlier entry has, since the earlier one is always found first. */
const findRepeated = <Entry>(
    entries: readonly Entry[],
    keysOf: (entry: Entry) => readonly string[],
    placeOf: (entry: Entry) => string,
    describe: (key: string, earlier: string) => string,
): Finding[] => {
    const firstByKey = new Map<string, string>();
    const findings: Finding[] = [];
    for (const entry of entries) {
        for (const key of keysOf(entry)) {
            const earlier = firstByKey.get(key);
            if (earlier === undefined) {
                firstByKey.set(key, placeOf(entry));
            }
            else {
                findings.push({
                    kind: FindingKind.NeverMatches,
                    place: placeOf(entry),
                    detail: describe(key, earlier),
                });
            }
        }
    }
    return findings;
};

const shorten = (key: string): string => `${key.slice(0, 4)}…`;

const findNeverMatching = ({ queues, customers, services }: QueueConfiguration): Finding[] => {
    const known = services === undefined ? undefined : new Set(services);
    const isUnreachable = ({ isPublic }: Queue): boolean =>
        !isPublic && customers.every(({ apiKeys }) => apiKeys.length === 0);
    return [
        ...findRepeated(
            queues,
            ({ host, pathPrefix }) => [`${host.toLowerCase()}${pathPrefix}`],
            placeOfQueue,
            (key, earlier) => `its host and path prefix ${key} are those of ${earlier}, which is found first`,
        ),
        ...findRepeated(
            customers,
            ({ apiKeys }) => apiKeys,
            placeOfCustomer,
            (key, earlier) => `its API key ${shorten(key)} is one of ${earlier}, which is found first`,
        ),
        ...findRepeated(
            customers,
            ({ name }) => [name],
            placeOfCustomer,
            () => "its name stands twice",
        ),
        ...queues.filter(queue => known?.has(queue.service) === false).map(queue => ({
            kind: FindingKind.NeverMatches,
            place: placeOfQueue(queue),
            detail: `no service is named "${queue.service}", so that its jobs never start`,
        })),
        ...queues.filter(isUnreachable).map(queue => ({
            kind: FindingKind.NeverMatches,
            place: placeOfQueue(queue),
            detail: "it is not public and no customer has an API key",
        })),
    ];
};

const findCustomerContradictions = (customer: QueueCustomer, queues: readonly Queue[]): string[] => {
    const { guaranteedAccelerators, guaranteedUpToPriority, maximum, weight } = customer;
    const hasGuaranteedQueue = queues.some(({ priority }) => priority <= guaranteedUpToPriority);
    return [
        ...maximum !== undefined && guaranteedAccelerators > maximum.accelerators
            ? [`it is guaranteed ${guaranteedAccelerators} accelerators and may use ${maximum.accelerators} at most`]
            : [],
        ...guaranteedAccelerators > 0 && queues.length > 0 && !hasGuaranteedQueue
            ? [`it has a guarantee, and no queue has a priority of ${guaranteedUpToPriority} or higher`]
            : [],
        ...weight === 0 ? ["its weight is 0, so that it gets only what others leave"] : [],
    ];
};

/** Lists limits of which not all can hold. */
export const findContradictions = (
    { queues, customers }: QueueConfiguration,
    { totalAccelerators }: ReviewContext = {},
): Finding[] => {
    const kind = FindingKind.Contradiction;
    const guaranteed = customers.reduce((sum, customer) => sum + customer.guaranteedAccelerators, 0);
    const ofQueues = queues.flatMap(queue => [
        ...queue.maxAttempts < 1 ? [{ kind, place: placeOfQueue(queue), detail: "its jobs have no attempt" }] : [],
        ...queue.slackFactor < 1 && queue.targetLatencyMs <= 0
            ? [{ kind, place: placeOfQueue(queue), detail: "its objective is shorter than the work itself" }]
            : [],
    ]);
    const ofCustomers = customers.flatMap(customer =>
        findCustomerContradictions(customer, queues).map(detail => ({
            kind,
            place: placeOfCustomer(customer),
            customer: customer.name,
            detail,
        }))
    );
    const ofAll = totalAccelerators !== undefined && guaranteed > totalAccelerators
        ? [{ kind, place: "guarantees", detail: `${guaranteed} accelerators of ${totalAccelerators} that exist` }]
        : [];
    return [...ofQueues, ...ofCustomers, ...ofAll];
};

/** Describes how many API keys differ, as the keys themselves are secret. */
const describeKeys = (before: readonly string[], after: readonly string[]): string =>
    `${after.filter(key => !before.includes(key)).length} added, ${
        before.filter(key => !after.includes(key)).length
    } removed`;

const describeValue = (value: unknown): string =>
    JSON.stringify(value, (_, inner: unknown) => inner === Number.POSITIVE_INFINITY ? "no limit" : inner) ?? "none";

const compareFields = (before: object, after: object): string[] => {
    const fields = new Set([...Object.keys(before), ...Object.keys(after)]);
    return [...fields].flatMap(field => {
        const [old, current] = [before, after].map(entry => (entry as Record<string, unknown>)[field]);
        if (describeValue(old) === describeValue(current)) {
            return [];
        }
        return field === "apiKeys"
            ? [`API keys: ${describeKeys(old as string[], current as string[])}`]
            : [`${field}: ${describeValue(old)} -> ${describeValue(current)}`];
    });
};

const findEntryChanges = <Entry extends object>(
    before: readonly Entry[],
    after: readonly Entry[],
    placeOf: (entry: Entry) => string,
): Finding[] => {
    const kind = FindingKind.Change;
    const beforeByPlace = new Map(before.map(entry => [placeOf(entry), entry]));
    const afterPlaces = new Set(after.map(placeOf));
    const changed = after.flatMap(entry => {
        const place = placeOf(entry);
        const earlier = beforeByPlace.get(place);
        return earlier === undefined
            ? [{ kind, place, detail: "added" }]
            : compareFields(earlier, entry).map(detail => ({ kind, place, detail }));
    });
    const removed = [...beforeByPlace.keys()].filter(place => !afterPlaces.has(place));
    return [...changed, ...removed.map(place => ({ kind, place, detail: "removed" }))];
};

const findChanges = (before: QueueConfiguration, after: QueueConfiguration): Finding[] => {
    const withoutEntries = (configuration: QueueConfiguration): object => ({
        ...configuration,
        queues: undefined,
        customers: undefined,
    });
    const isOlder = after.version <= before.version;
    return [
        ...isOlder
            ? [{
                kind: FindingKind.NeverMatches,
                place: "version",
                detail: `${after.version} is not above ${before.version}, which is in force`,
            }]
            : [],
        ...compareFields(withoutEntries(before), withoutEntries(after)).map(detail => ({
            kind: FindingKind.Change,
            place: "configuration",
            detail,
        })),
        ...findEntryChanges(before.queues, after.queues, placeOfQueue),
        ...findEntryChanges(before.customers, after.customers, placeOfCustomer),
    ];
};

/** Lists what can never match, what contradicts and, given the version in force, what differs from it. */
export const reviewConfiguration = (configuration: QueueConfiguration, context: ReviewContext = {}): Finding[] => [
    ...findNeverMatching(configuration),
    ...findContradictions(configuration, context),
    ...context.inForce === undefined ? [] : findChanges(context.inForce, configuration),
];

/** Whether a finding only tells what differs. */
export const isChange = ({ kind }: Finding): boolean => kind === FindingKind.Change;
