import { zonesOutOf } from "../configuration/queries/settings.js";
import type { Snapshot } from "../configuration/types.js";
import type { ZoneReport } from "../peers/types.js";
import type { GangReport } from "../peers/types.js";
import { VmState } from "../platform/types.js";
import type { Vm } from "../platform/types.js";
import type { TimerService } from "../utils/timer.js";
import type { Worker } from "./types.js";

/** Age after which a zone's report says nothing any more. */
const reportMaxAgeMs = 6_000;

interface ZoneView {
    report: ZoneReport;
    receivedAtMs: number;
}

/** What the lease managers' reports and the platform's list say about workers. */
export interface ZoneViews {
    accept(report: ZoneReport): void;
    addressOf(worker: string): string | undefined;
    /** Every known worker; usable only if nothing speaks against new tasks there. */
    workers(snapshot: Snapshot, isEjected: (worker: string) => boolean): Worker[];
    /** Whether the worker's zone is out or the worker is leaving. */
    isLeaving(worker: Worker, snapshot: Snapshot): boolean;
    /** Whether every zone of the list has reported since a time. */
    haveAllReportedSince(sinceMs: number): boolean;
    /** The report of a gang, `undefined` if it has none, or `"silent"` if its zone cannot tell. */
    findGang(
        zone: string,
        jobId: string,
        attempt: number,
        members: readonly string[],
    ): GangReport | "silent" | undefined;
}

/** Creates views without any report. */
export const createZoneViews = (timer: TimerService, listEndpoints: () => Vm[]): ZoneViews => {
    const zones = new Map<string, ZoneView>();
    const known = new Map<string, Worker & { httpAddress: string; }>();

    const accept = (report: ZoneReport): void => {
        zones.set(report.availabilityZone, { report, receivedAtMs: timer.nowMs() });
        report.workers.forEach(worker => known.set(worker.name, worker));
    };

    const freshView = (zone: string): ZoneView | undefined => {
        const view = zones.get(zone);
        return view !== undefined && timer.nowMs() - view.receivedAtMs < reportMaxAgeMs ? view : undefined;
    };

    const isListedLeaving = (name: string): boolean =>
        listEndpoints().some(vm => vm.name === name && vm.state === VmState.Leaving);

    const isListed = (name: string): boolean => listEndpoints().some(vm => vm.name === name);

    const forgetRemoved = (): void => {
        const listed = new Set(listEndpoints().map(vm => vm.name));
        if (listed.size > 0) {
            [...known.keys()].filter(name => !listed.has(name)).forEach(name => known.delete(name));
        }
    };

    const workers = (snapshot: Snapshot, isEjected: (worker: string) => boolean): Worker[] => {
        forgetRemoved();
        const zonesOut = zonesOutOf(snapshot);
        const leaving = new Set(listEndpoints().filter(vm => vm.state === VmState.Leaving).map(vm => vm.name));
        const accepting = new Set<string>();
        for (const zone of zones.keys()) {
            const view = freshView(zone);
            const unreachable = new Set(view?.report.unreachable);
            view?.report.workers
                .filter(worker => worker.usable && !unreachable.has(worker.name))
                .forEach(worker => accepting.add(worker.name));
        }
        const sorted = [...known.values()].sort((left, right) => left.name < right.name ? -1 : 1);
        return sorted.map(({ name, availabilityZone, rack, capacity }) => ({
            name,
            availabilityZone,
            rack,
            capacity,
            usable: accepting.has(name) && !leaving.has(name) && !zonesOut.has(availabilityZone) && !isEjected(name),
        }));
    };

    /** Only a worker that answers, or that the platform no longer lists, is known not to run a task. */
    const isKnownIdle = (name: string, view: ZoneView): boolean =>
        (view.report.workers.some(worker => worker.name === name) && !view.report.unreachable.includes(name))
        || !isListed(name);

    return {
        accept,
        addressOf: worker => known.get(worker)?.httpAddress,
        workers,
        isLeaving: (worker, snapshot) =>
            zonesOutOf(snapshot).has(worker.availabilityZone) || isListedLeaving(worker.name),
        haveAllReportedSince: sinceMs => {
            const expected = new Set(listEndpoints().map(vm => vm.availabilityZone));
            return expected.size > 0 && [...expected].every(zone => (zones.get(zone)?.receivedAtMs ?? -1) >= sinceMs);
        },
        findGang: (zone, jobId, attempt, members) => {
            const view = freshView(zone);
            if (view === undefined) {
                return "silent";
            }
            const gang = view.report.gangs.find(candidate =>
                candidate.jobId === jobId && candidate.attempt === attempt
            );
            return gang ?? (members.every(member => isKnownIdle(member, view)) ? undefined : "silent");
        },
    };
};
