import { Adjacency } from "../configuration/types.js";
import type { Worker } from "./types.js";

/** Workers among which one gang may be placed. */
export interface Domain {
    name: string;
    workers: Worker[];
}

/** All workers, grouped by each adjacency. */
export interface Fleet {
    /** Workers by name. */
    workers: Map<string, Worker>;
    /** Domains of an adjacency; they never cross an availability zone. */
    domains(adjacency: Adjacency): Domain[];
    /** The rack that a worker stands in. */
    rackOf(worker: Worker): Domain;
}

const rackName = (worker: Worker): string => `${worker.availabilityZone}/${worker.rack}`;

const groupBy = (workers: Worker[], nameOf: (worker: Worker) => string): Domain[] => {
    const groups = new Map<string, Domain>();
    for (const worker of workers) {
        const name = nameOf(worker);
        const domain = groups.get(name) ?? { name, workers: [] };
        domain.workers.push(worker);
        groups.set(name, domain);
    }
    return [...groups.values()];
};

/** Groups workers into the domains of every adjacency. */
export const createFleet = (workers: Worker[]): Fleet => {
    const domainsByAdjacency = {
        [Adjacency.Worker]: groupBy(workers, worker => worker.name),
        [Adjacency.Rack]: groupBy(workers, rackName),
        [Adjacency.AvailabilityZone]: groupBy(workers, worker => worker.availabilityZone),
    };
    const racks = new Map(domainsByAdjacency[Adjacency.Rack].map(domain => [domain.name, domain]));
    return {
        workers: new Map(workers.map(worker => [worker.name, worker])),
        domains: adjacency => domainsByAdjacency[adjacency],
        rackOf: worker => racks.get(rackName(worker)) ?? { name: rackName(worker), workers: [worker] },
    };
};
