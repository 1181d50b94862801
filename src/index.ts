export const a = (x: number) => {
    if (x) { return 1; }
    else { return 2; }
};
