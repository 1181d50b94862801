import type { Step } from "../jobs/types.js";

/** A queue that customers submit jobs to. */
export interface Queue {
    name: string;
    /** Host name in a caller's request. */
    host: string;
    /** Start of the path in a caller's request; the longest that fits decides. */
    pathPrefix: string;
    /** Pool of workers that runs its jobs. */
    service: string;
    /** 0 goes first and may displace others. */
    priority: number;
    /** Runs of a task that may fail before its job fails. */
    maxAttempts: number;
    slackFactor: number;
    targetLatencyMs: number;
    /** Calls need no key. */
    isPublic: boolean;
    /** Its policy restricts steps to workers named by the advice service. */
    needsAdvice: boolean;
}

/** A gang that a customer can always start. */
export interface GuaranteedGang {
    /** Unique among all customers. */
    name: string;
    step: Step;
    /** Gets its place before others when workers are out. */
    holdsWithZoneOut: boolean;
}

/** Which jobs of a customer may claim what is guaranteed to it. */
export enum GuaranteeCoverage {
    /** All of them, while they need no more than that together; none otherwise. */
    WholeDemand = "wholeDemand",
    /** The earliest accepted ones, as far as it goes. */
    EarliestFirst = "earliestFirst",
}

/** A customer that submits jobs. */
export interface QueueCustomer {
    name: string;
    apiKeys: string[];
    /** Accelerators that it can always have. */
    guaranteedAccelerators: number;
    /** Jobs of this and more important priorities may claim them. */
    guaranteedUpToPriority: number;
    guaranteeCoverage: GuaranteeCoverage;
    /** Gangs that together are its guarantee, each with a place of its own. @default accelerators anywhere */
    guaranteedGangs?: GuaranteedGang[];
    /** Accelerators that it may use at most. @default no limit */
    maxAccelerators?: number;
}

/** One version of what the operator has set. */
export interface QueueConfiguration {
    version: number;
    queues: Queue[];
    customers: QueueCustomer[];
    maxBodyBytes: number;
    /** Whether work that can go on elsewhere leaves an availability zone that is taken out. */
    movesFromZonesOut: boolean;
}

/** The configuration in force and the availability zones that are out of service. */
export interface OperatorState {
    configuration?: QueueConfiguration;
    evacuatedZones: ReadonlySet<string>;
}

/** Where the operator's wishes come from. */
export interface OperatorSource {
    current(): OperatorState;
    /** Time since what is known was confirmed, counted from before it was asked for. */
    ageMs(): number;
    /** Called after each change. */
    onChange(listener: () => void): void;
}

/** Finds the queue that a caller's request goes to. */
export const findQueue = (
    configuration: QueueConfiguration,
    host: string,
    path: string,
): Queue | undefined => {
    const name = host.split(":")[0].toLowerCase();
    let found: Queue | undefined;
    for (const queue of configuration.queues) {
        const fits = queue.host.toLowerCase() === name && path.startsWith(queue.pathPrefix);
        if (fits && queue.pathPrefix.length > (found?.pathPrefix.length ?? -1)) {
            found = queue;
        }
    }
    return found;
};

/** Finds the customer that holds a key. */
export const findCustomer = (configuration: QueueConfiguration, apiKey: string): QueueCustomer | undefined =>
    configuration.customers.find(customer => customer.apiKeys.includes(apiKey));
