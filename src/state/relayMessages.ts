import type { RelayReply, RelayRequest } from "./relay.js";
import { StateErrorKind } from "./types.js";

/** Maximum time that a relayed request for changes may wait for one. */
const maxWaitMs = 30_000;
const maxEntries = 100;

type Fields = Record<string, unknown>;

const asFields = (value: unknown): Fields => typeof value === "object" && value !== null ? value as Fields : {};

const isText = (value: unknown): value is string => typeof value === "string";

const isOptionalText = (value: unknown): boolean => value === undefined || isText(value);

const isVersion = (value: unknown): boolean => Number.isSafeInteger(value) && Number(value) >= 0;

const isListOf = (value: unknown, isEntry: (entry: Fields) => boolean): boolean =>
    Array.isArray(value) && value.every(entry => isEntry(asFields(entry)));

const isTransaction = ({ part, conditions, writes }: Fields, tables: ReadonlySet<unknown>): boolean =>
    isText(part) && isListOf(conditions, ({ table, key, version }) =>
        tables.has(table) && isText(key) && isVersion(version))
    && isListOf(writes, ({ table, key }) => tables.has(table) && isText(key))
    && (writes as unknown[]).length > 0
    && (writes as unknown[]).length + (conditions as unknown[]).length <= maxEntries;

const isRange = ({ table, part, from, before }: Fields, tables: ReadonlySet<unknown>): boolean =>
    tables.has(table) && isText(part) && isOptionalText(from) && isOptionalText(before);

const isRequestForChanges = ({ table, afterVersion, waitMs }: Fields, tables: ReadonlySet<unknown>): boolean =>
    tables.has(table) && isVersion(afterVersion)
    && typeof waitMs === "number" && waitMs >= 0 && waitMs <= maxWaitMs;

/** Whether the parsed body of a request is an operation, on one of `tables`, that one VM may ask of another. */
export const isRelayRequest = (body: unknown, tables: ReadonlySet<string>): body is RelayRequest => {
    const request = asFields(body);
    switch (request.operation) {
        case "commit":
            return isTransaction(asFields(request.transaction), tables);
        case "read":
            return isRange(asFields(request.range), tables);
        case "changes":
            return isRequestForChanges(request, tables);
        default:
            return false;
    }
};

const isRow = ({ table, part, key, version }: Fields): boolean =>
    isText(table) && isText(part) && isText(key) && isVersion(version);

const isError = ({ kind, rows }: Fields): boolean =>
    Object.values<unknown>(StateErrorKind).includes(kind)
    && (kind !== StateErrorKind.Conflict || isListOf(rows, isRow));

/** Whether the parsed body of an answer is a reply to an operation. */
export const isRelayReply = (body: unknown, { operation }: RelayRequest): body is RelayReply => {
    const { ok, value, error } = asFields(body);
    const { version, rows } = asFields(value);
    return ok === true
        ? isVersion(version) && (operation === "commit" || isListOf(rows, isRow))
        : ok === false && isError(asFields(error));
};
