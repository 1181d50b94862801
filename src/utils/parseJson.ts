/** Parses JSON; anything else reads as `undefined`. */
export const parseJson = (text: string): unknown => {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
};
