/** How close together the tasks of a gang must run. */
export enum Adjacency {
    Worker = "worker",
    Rack = "rack",
    AvailabilityZone = "availabilityZone",
}

/** How soon work has to be done. */
export enum Urgency {
    Urgent = "urgent",
    Normal = "normal",
    MayWait = "mayWait",
}

/** A gang's size and how close together its tasks must run. */
export interface Shape {
    taskCount: number;
    acceleratorsPerTask: number;
    coresPerTask: number;
    memoryGbPerTask: number;
    adjacency: Adjacency;
}

/** Accelerators that a customer can always have. */
export interface GuaranteeStatement {
    shape: Shape;
    /** How many gangs of the shape can run at the same time. */
    count: number;
    /** Whether it must hold with any one availability zone out. */
    holdsWithZoneOut: boolean;
}

/** How calls to a service are treated. */
export interface CallsStatement {
    urgency: Urgency;
    /** Time a call may take when the caller names none. */
    deadlineMs: number;
    /** Whether a call may run at most once; then its key is required. */
    atMostOnce: boolean;
    /** Calls of the customer's service in progress at the same time, per router. */
    maxInFlight: number;
}

/** How jobs of a service are treated. */
export interface JobsStatement {
    urgency: Urgency;
    /** Accelerators that the customer may use at most, guaranteed and borrowed. */
    maxAccelerators?: number;
}

/** One statement of intent, as operators write it. */
export interface Intent {
    name: string;
    /** Team that answers questions about it. */
    owner: string;
    reason: string;
    customer?: string;
    service?: string;
    calls?: CallsStatement;
    jobs?: JobsStatement;
    guarantee?: GuaranteeStatement;
    /** Availability zones that this statement takes out of service. */
    availabilityZonesOut?: string[];
}

/** Where a statement comes from. */
export interface Provenance {
    /** File relative to the root of the published tree. */
    file: string;
    line: number;
    /** Version in which the statement last changed. */
    changedInVersion: number;
    /** Publisher of that version. */
    changedBy: string;
    changedAtMs: number;
}

/** A statement together with its source. */
export interface Statement extends Intent {
    provenance: Provenance;
}

/** A statement that later versions no longer contain. */
export interface RemovedStatement {
    name: string;
    removedInVersion: number;
    removedBy: string;
}

/** One accepted version of all statements. */
export interface Snapshot {
    version: number;
    /** Unique per publish, so that a publisher can recognise its own. */
    publishId: string;
    publishedBy: string;
    publishedAtMs: number;
    statements: Statement[];
    /** Statements removed in this and earlier versions. */
    removed: RemovedStatement[];
}

/** Row that names the current version. */
export interface CurrentVersion {
    version: number;
    publishId: string;
}

/** Key of the row with the current version. */
export const currentVersionKey = "control/configuration";

/** Key of the row with the snapshot of a version. */
export const snapshotKey = (version: number): string => `configuration/snapshots/${version}`;

/** Snapshot that stands before the first publish. */
export const emptySnapshot = (): Snapshot => ({
    version: 0,
    publishId: "",
    publishedBy: "",
    publishedAtMs: 0,
    statements: [],
    removed: [],
});
