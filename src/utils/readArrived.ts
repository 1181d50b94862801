/** Resolves after the event loop has accepted the connections and read the data that had arrived. */
export const readArrived = async (): Promise<void> => {
    // the first callback may run without polling the sockets again, the second runs one turn of the event loop later
    await new Promise<void>(resolve => setImmediate(() => setImmediate(resolve)));
};
