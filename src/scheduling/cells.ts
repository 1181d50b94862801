import type { Statement } from "../configuration/types.js";
import { findPlacement } from "./fit.js";
import type { Candidate } from "./fit.js";
import type { Cell, Ledger } from "./ledger.js";
import { acceleratorsOf } from "./resources.js";
import { AllocationClass } from "./types.js";
import type { Member } from "./types.js";

/** Expands the guarantees of all statements into one idle cell per guaranteed gang. */
export const cellsOf = (statements: readonly Statement[]): Cell[] =>
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

/** Cells that hold with an availability zone out come first, then larger ones. */
const byPrecedence = (left: Cell, right: Cell): number =>
    Number(right.holdsWithZoneOut) - Number(left.holdsWithZoneOut)
    || acceleratorsOf(right.shape) - acceleratorsOf(left.shape)
    || (left.unit < right.unit ? -1 : 1);

const smallestLeftover = (candidate: Candidate): number => candidate.leftoverTasks;

/** Finds a location outside all other cells for a unit. */
export const locateCell = (ledger: Ledger, cell: Cell): Member[] =>
    findPlacement(cell.shape, ledger.fleet, worker => ledger.outsideCells(worker, cell.unit), smallestLeftover)?.members
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

const locateAll = (ledger: Ledger, cells: Cell[]): Cell[] => {
    const missing: Cell[] = [];
    for (const cell of cells) {
        ledger.setCell({ ...cell, members: [] });
    }
    for (const cell of cells) {
        const members = locateCell(ledger, cell);
        ledger.setCell({ ...cell, members });
        if (members.length === 0) {
            missing.push(cell);
        }
    }
    return missing;
};

/** Turns the guaranteed jobs of a unit into borrowers, so that its cell can be given to another unit. */
const demoteUnit = (ledger: Ledger, unit: string): void => {
    for (const allocation of [...ledger.allocations.values()]) {
        if (allocation.guaranteeUnit === unit) {
            ledger.allocate({ ...allocation, class: AllocationClass.Borrowed, guaranteeUnit: undefined });
        }
    }
};

/**
 * Gives every unit without a usable cell a new one, moving idle cells where needed.
 *
 * Cells in use stay where they are, unless a unit that must hold with an availability zone out has no other place.
 *
 * @returns the units that fit nowhere
 */
export const repairCells = (ledger: Ledger): string[] => {
    const all = [...ledger.cells.values()].sort(byPrecedence);
    const broken = all.filter(cell => !isUsable(ledger, cell.members));
    if (broken.length === 0) {
        return [];
    }
    if (locateAll(ledger, broken).length === 0) {
        return [];
    }
    const inUse = unitsInUse(ledger);
    const movable = all.filter(cell => !inUse.has(cell.unit) || !isUsable(ledger, cell.members));
    const missing = locateAll(ledger, movable);
    const mustHold = missing.filter(cell => cell.holdsWithZoneOut);
    if (mustHold.length === 0) {
        return missing.map(cell => cell.unit);
    }
    const yielding = all.filter(cell => !cell.holdsWithZoneOut && inUse.has(cell.unit));
    yielding.forEach(cell => demoteUnit(ledger, cell.unit));
    return locateAll(ledger, [...movable, ...yielding].sort(byPrecedence)).map(cell => cell.unit);
};

/** Replaces the units of the ledger by those of the current statements, keeping known locations. */
export const syncCells = (ledger: Ledger, wanted: readonly Cell[]): string[] => {
    const units = new Set(wanted.map(cell => cell.unit));
    for (const cell of [...ledger.cells.values()]) {
        if (!units.has(cell.unit)) {
            demoteUnit(ledger, cell.unit);
            ledger.setCell({ ...cell, members: [] });
            ledger.cells.delete(cell.unit);
        }
    }
    for (const cell of wanted) {
        const known = ledger.cells.get(cell.unit);
        const sameShape = known !== undefined && JSON.stringify(known.shape) === JSON.stringify(cell.shape);
        if (!sameShape && known !== undefined) {
            demoteUnit(ledger, cell.unit);
        }
        ledger.setCell({ ...cell, members: sameShape ? known.members : [] });
    }
    return repairCells(ledger);
};
