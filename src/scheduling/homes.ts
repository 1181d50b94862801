import type { Statement } from "../configuration/types.js";
import { findPlacement } from "./fit.js";
import type { Candidate } from "./fit.js";
import type { Home, Ledger } from "./ledger.js";
import { acceleratorsOf } from "./resources.js";
import { AllocationClass } from "./types.js";
import type { Member } from "./types.js";

/** Expands the guarantees of all statements into one idle home per guaranteed gang. */
export const homesOf = (statements: readonly Statement[]): Home[] =>
    statements.flatMap(statement => {
        const { guarantee, customer } = statement;
        if (guarantee === undefined || customer === undefined) {
            return [];
        }
        return Array.from(Array(guarantee.count).keys(), index => ({
            unit: `${customer}/${statement.name}#${index}`,
            customer,
            shape: guarantee.shape,
            members: [],
            holdsWithZoneOut: guarantee.holdsWithZoneOut,
        }));
    });

/** Homes that hold with an availability zone out come first, then larger ones. */
const byPrecedence = (left: Home, right: Home): number =>
    Number(right.holdsWithZoneOut) - Number(left.holdsWithZoneOut)
    || acceleratorsOf(right.shape) - acceleratorsOf(left.shape)
    || (left.unit < right.unit ? -1 : 1);

const smallestLeftover = (candidate: Candidate): number => candidate.leftoverTasks;

/** Finds a location outside all other homes for a unit. */
export const locateHome = (ledger: Ledger, home: Home): Member[] =>
    findPlacement(home.shape, ledger.fleet, worker => ledger.outsideHomes(worker, home.unit), smallestLeftover)?.members
        ?? [];

const isUsable = (ledger: Ledger, members: readonly Member[]): boolean =>
    members.length > 0 && members.every(member => ledger.fleet.workers.get(member.worker)?.usable === true);

const unitsInUse = (ledger: Ledger): Set<string> => {
    const units = new Set<string>();
    for (const allocation of ledger.allocations.values()) {
        if (allocation.guaranteeUnit !== undefined && allocation.class === AllocationClass.Guaranteed) {
            units.add(allocation.guaranteeUnit);
        }
    }
    return units;
};

const locateAll = (ledger: Ledger, homes: Home[]): Home[] => {
    const missing: Home[] = [];
    for (const home of homes) {
        ledger.setHome({ ...home, members: [] });
    }
    for (const home of homes) {
        const members = locateHome(ledger, home);
        ledger.setHome({ ...home, members });
        if (members.length === 0) {
            missing.push(home);
        }
    }
    return missing;
};

/** Turns the guaranteed jobs of a unit into borrowers, so that its home can be given to another unit. */
const demoteUnit = (ledger: Ledger, unit: string): void => {
    for (const allocation of [...ledger.allocations.values()]) {
        if (allocation.guaranteeUnit === unit) {
            ledger.allocate({ ...allocation, class: AllocationClass.Borrowed, guaranteeUnit: undefined });
        }
    }
};

/**
 * Gives every unit without a usable home a new one, moving idle homes where needed.
 *
 * Homes in use stay where they are, unless a unit that must hold with an availability zone out has no other place.
 *
 * @returns the units that fit nowhere
 */
export const repairHomes = (ledger: Ledger): string[] => {
    const all = [...ledger.homes.values()].sort(byPrecedence);
    const broken = all.filter(home => !isUsable(ledger, home.members));
    if (broken.length === 0) {
        return [];
    }
    if (locateAll(ledger, broken).length === 0) {
        return [];
    }
    const inUse = unitsInUse(ledger);
    const movable = all.filter(home => !inUse.has(home.unit) || !isUsable(ledger, home.members));
    const missing = locateAll(ledger, movable);
    const mustHold = missing.filter(home => home.holdsWithZoneOut);
    if (mustHold.length === 0) {
        return missing.map(home => home.unit);
    }
    const yielding = all.filter(home => !home.holdsWithZoneOut && inUse.has(home.unit));
    yielding.forEach(home => demoteUnit(ledger, home.unit));
    return locateAll(ledger, [...movable, ...yielding].sort(byPrecedence)).map(home => home.unit);
};

/** Replaces the units of the ledger by those of the current statements, keeping known locations. */
export const syncHomes = (ledger: Ledger, wanted: readonly Home[]): string[] => {
    const units = new Set(wanted.map(home => home.unit));
    for (const home of [...ledger.homes.values()]) {
        if (!units.has(home.unit)) {
            demoteUnit(ledger, home.unit);
            ledger.setHome({ ...home, members: [] });
            ledger.homes.delete(home.unit);
        }
    }
    for (const home of wanted) {
        const known = ledger.homes.get(home.unit);
        const sameShape = known !== undefined && JSON.stringify(known.shape) === JSON.stringify(home.shape);
        if (!sameShape && known !== undefined) {
            demoteUnit(ledger, home.unit);
        }
        ledger.setHome({ ...home, members: sameShape ? known.members : [] });
    }
    return repairHomes(ledger);
};
