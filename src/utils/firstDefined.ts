/** Resolves with the first value that is not `undefined`; with `undefined` once all promises have resolved with that. */
export const firstDefined = <Value>(promises: readonly Promise<Value | undefined>[]): Promise<Value | undefined> =>
    new Promise((resolve, reject) => {
        let pending = promises.length;
        const settle = (value: Value | undefined): void => {
            pending -= 1;
            if (value !== undefined || pending === 0) {
                resolve(value);
            }
        };
        if (pending === 0) {
            resolve(undefined);
        }
        promises.forEach(promise => void promise.then(settle, reject));
    });
