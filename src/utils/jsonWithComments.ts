import { findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode } from "jsonc-parser";
import type { Node, ParseError } from "jsonc-parser";
import { fail, succeed } from "./result.js";
import type { Result } from "./result.js";

/** A parsed document that can tell on which line a field stands. */
export interface ParsedDocument {
    value: unknown;
    /** Line of the deepest part of the path that exists, counted from 1. */
    lineOf(path: readonly (string | number)[]): number;
}

/** A document that is not JSON with comments. */
export interface SyntaxProblem {
    line: number;
    detail: string;
}

const lineAt = (text: string, offset: number): number => text.slice(0, offset).split("\n").length;

const lineOfPath = (text: string, root: Node, path: readonly (string | number)[]): number => {
    for (let length = path.length; length > 0; length--) {
        const node = findNodeAtLocation(root, path.slice(0, length));
        if (node !== undefined) {
            return lineAt(text, (node.parent ?? node).offset);
        }
    }
    return lineAt(text, root.offset);
};

/** Parses JSON with comments and trailing commas. */
export const parseJsonWithComments = (text: string): Result<ParsedDocument, SyntaxProblem> => {
    const errors: ParseError[] = [];
    const root = parseTree(text, errors, { allowTrailingComma: true });
    const error = errors.at(0);
    if (root === undefined || error !== undefined) {
        const detail = error === undefined ? "the file is empty" : printParseErrorCode(error.error);
        return fail({ line: lineAt(text, error?.offset ?? 0), detail });
    }
    return succeed({ value: getNodeValue(root), lineOf: path => lineOfPath(text, root, path) });
};
