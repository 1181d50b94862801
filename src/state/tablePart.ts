/** The part of a table that an operation accesses. */
export interface TablePart {
    table: string;
    part: string;
}

/** Key of a part in maps. */
export const keyOfPart = ({ table, part }: TablePart): string => `${table}/${part}`;
