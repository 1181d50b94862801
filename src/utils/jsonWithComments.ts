import { createScanner, findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode } from "jsonc-parser";
import type { Node, ParseError } from "jsonc-parser";
import { fail, succeed } from "./result.js";
import type { Result } from "./result.js";

/** A parsed document with the line numbers of its fields. */
export interface ParsedDocument {
    value: unknown;
    /** Line of the longest prefix of the path that exists, counted from 1. */
    lineOf(path: readonly (string | number)[]): number;
}

/** A syntax error in JSON with comments. */
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

/** Nesting depth above which a document is rejected: the parser is recursive. Real ones have fewer than ten levels. */
const maxDepth = 100;

/** Offset of the first bracket that exceeds `maxDepth`; brackets in strings and comments do not count. */
const findExcessiveNesting = (text: string): number | undefined => {
    const scanner = createScanner(text, true);
    let depth = 0;
    for (scanner.scan(); scanner.getTokenOffset() < text.length; scanner.scan()) {
        const first = text[scanner.getTokenOffset()];
        depth += Number(first === "{" || first === "[") - Number(first === "}" || first === "]");
        if (depth > maxDepth) {
            return scanner.getTokenOffset();
        }
    }
    return undefined;
};

/** Parses JSON with comments and trailing commas. */
export const parseJsonWithComments = (text: string): Result<ParsedDocument, SyntaxProblem> => {
    const nestingOffset = findExcessiveNesting(text);
    if (nestingOffset !== undefined) {
        return fail({ line: lineAt(text, nestingOffset), detail: `nested more than ${maxDepth} levels deep` });
    }
    const errors: ParseError[] = [];
    const root = parseTree(text, errors, { allowTrailingComma: true });
    const error = errors.at(0);
    if (root === undefined || error !== undefined) {
        const detail = error === undefined ? "the file is empty" : printParseErrorCode(error.error);
        return fail({ line: lineAt(text, error?.offset ?? 0), detail });
    }
    return succeed({ value: getNodeValue(root), lineOf: path => lineOfPath(text, root, path) });
};
