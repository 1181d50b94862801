/** How close together the tasks of a gang must run. */
export enum Adjacency {
    Worker = "worker",
    Rack = "rack",
    AvailabilityZone = "availabilityZone",
}

/** Urgency of calls and jobs; sets the priority of jobs. */
export enum Urgency {
    Urgent = "urgent",
    Normal = "normal",
    MayWait = "mayWait",
}

/** Number of tasks of a gang, resources per task and how close together the tasks must run. */
export interface Shape {
    taskCount: number;
    acceleratorsPerTask: number;
    coresPerTask: number;
    memoryGbPerTask: number;
    adjacency: Adjacency;
}

/** Gangs of one shape that a customer is guaranteed to be able to run. */
export interface GuaranteeStatement {
    shape: Shape;
    /** Number of gangs of the shape that are guaranteed at the same time. */
    count: number;
    /** Whether the guarantee must hold with any one availability zone out of service. */
    holdsWithZoneOut: boolean;
}

/** Settings of a customer's calls to a service. */
export interface CallsStatement {
    urgency: Urgency;
    /** Deadline of calls that set none. */
    deadlineMs: number;
    /** Whether a call may run at most once; it then requires an idempotency key. */
    atMostOnce: boolean;
    /** Maximum number of concurrent calls of the customer to the service, per router. */
    maxInFlight: number;
}

/** Settings of a customer's jobs of a service. */
export interface JobsStatement {
    urgency: Urgency;
    /** Maximum number of accelerators that the customer may use, guaranteed and borrowed; no limit if absent. */
    maxAccelerators?: number;
}

/** One statement of intent, as operators write it in a file. */
export interface Intent {
    name: string;
    /** Team responsible for the statement. */
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

/** File, version and publisher that a statement comes from. */
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

/** A published statement of intent with its provenance. */
export interface Statement extends Intent {
    provenance: Provenance;
}

/** Record of a statement that a publish removed. */
export interface RemovedStatement {
    name: string;
    removedInVersion: number;
    removedBy: string;
}

/** One accepted version of all statements. */
export interface Snapshot {
    version: number;
    /** Unique per publish; shows a publisher whose reply was lost whether its own publish was committed. */
    publishId: string;
    publishedBy: string;
    publishedAtMs: number;
    statements: Statement[];
    /** Statements removed in this and earlier versions, oldest first; limited in number. */
    removed: RemovedStatement[];
}

/** Value of the row that names the current version. */
export interface CurrentVersion {
    version: number;
    publishId: string;
}

/** Key of the row that names the current version. */
export const currentVersionKey = "control/configuration";

/** Returns the key of the row that stores the snapshot of a version. */
export const snapshotKey = (version: number): string => `configuration/snapshots/${version}`;

/** Returns the snapshot that is in force before the first publish: version 0 without statements. */
export const emptySnapshot = (): Snapshot => ({
    version: 0,
    publishId: "",
    publishedBy: "",
    publishedAtMs: 0,
    statements: [],
    removed: [],
});
