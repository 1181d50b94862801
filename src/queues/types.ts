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

/** A customer that submits jobs. */
export interface QueueCustomer {
    name: string;
    apiKeys: string[];
    /** Accelerators that it can always have for jobs of priority 0. */
    guaranteedAccelerators: number;
}

/** One version of what the operator has set. */
export interface QueueConfiguration {
    version: number;
    queues: Queue[];
    customers: QueueCustomer[];
    maxBodyBytes: number;
}

/** The configuration in force and the availability zones that are out of service. */
export interface OperatorState {
    configuration?: QueueConfiguration;
    evacuatedZones: ReadonlySet<string>;
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
