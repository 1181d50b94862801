import type { Step, TaskResources } from "../jobs/types.js";

/** A queue that customers submit jobs to. */
export interface Queue {
    name: string;
    /** Host name in a caller's request. */
    host: string;
    /** Prefix of the path in a caller's request; the longest match wins. */
    pathPrefix: string;
    /** Pool of workers that runs its jobs. */
    service: string;
    /** 0 is the highest; its jobs may preempt others. */
    priority: number;
    /** Number of runs of a task that may fail before its job fails. */
    maxAttempts: number;
    slackFactor: number;
    targetLatencyMs: number;
    /** Requests need no API key. */
    isPublic: boolean;
    /** Its policy restricts steps to the workers that the advice service names. */
    needsAdvice: boolean;
}

/** A gang that a customer can start at any time. */
export interface GuaranteedGang {
    /** Unique among all customers. */
    name: string;
    step: Step;
    /**
     * The guarantee holds with an availability zone out of service: its reservation is assigned first when workers are
     * scarce.
     */
    holdsWithZoneOut: boolean;
}

/** Which jobs of a customer are covered by its guarantee. */
export enum GuaranteeCoverage {
    /** All of them, while together they need no more than the guarantee; none otherwise. */
    WholeDemand = "wholeDemand",
    /** The earliest accepted ones that fit into the guarantee. */
    EarliestFirst = "earliestFirst",
}

/** A customer that submits jobs. */
export interface QueueCustomer {
    name: string;
    apiKeys: string[];
    /** Accelerators that it can use at any time. */
    guaranteedAccelerators: number;
    /** Highest priority number, which is the lowest priority, of jobs that may claim the guarantee. */
    guaranteedUpToPriority: number;
    guaranteeCoverage: GuaranteeCoverage;
    /** Gangs that make up its guarantee, each with a reservation. @default accelerators on any workers */
    guaranteedGangs?: GuaranteedGang[];
    /** Most that its runs may occupy at a time, across all workers; infinite for a resource without a limit. @default no limit */
    maximum?: TaskResources;
    /** Its share of the capacity relative to the other customers', while work of several has to wait. @default none */
    weight?: number;
}

/** One version of the operator's configuration of queues and customers. */
export interface QueueConfiguration {
    version: number;
    queues: Queue[];
    customers: QueueCustomer[];
    /** Names of all pools of workers; listed workers of another one are not used. @default every worker is used */
    services?: string[];
    maxBodyBytes: number;
    /** Whether resumable work is moved off an availability zone that is taken out of service. */
    evacuatesRunsFromZones: boolean;
}

/** The configuration in force and the availability zones that are out of service. */
export interface OperatorState {
    configuration?: QueueConfiguration;
    evacuatedZones: ReadonlySet<string>;
}

/** Source of the operator state. */
export interface OperatorSource {
    current(): OperatorState;
    /** Age of the current state, counted from the sending of the last request that confirmed it. */
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
    const requestHost = host.split(":")[0].toLowerCase();
    let found: Queue | undefined;
    for (const queue of configuration.queues) {
        const matches = queue.host.toLowerCase() === requestHost && path.startsWith(queue.pathPrefix);
        if (matches && queue.pathPrefix.length > (found?.pathPrefix.length ?? -1)) {
            found = queue;
        }
    }
    return found;
};

/** Finds the customer that an API key belongs to. */
export const findCustomer = (configuration: QueueConfiguration, apiKey: string): QueueCustomer | undefined =>
    configuration.customers.find(customer => customer.apiKeys.includes(apiKey));
