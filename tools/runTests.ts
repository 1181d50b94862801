/** Runs the test files whose names contain an argument; failures listed in KNOWN-RED.txt do not fail the run. */
import Mocha from "mocha";
import { readdirSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../..", import.meta.url));
const defaultTimeoutMs = 20_000;

/** Reads the titles of the tests that are known to fail from lines of the form `test: TITLE`. */
const readKnownRedTitles = (): Set<string> => {
    const text = readFileSync(`${root}/KNOWN-RED.txt`, "utf8");
    const titles = text.split("\n").filter(line => line.startsWith("test: ")).map(line =>
        line.slice("test: ".length).trim()
    );
    return new Set(titles);
};

const findTestFiles = (): string[] => {
    const nameFilters = process.argv.slice(2);
    const files = readdirSync(`${root}/dist/test`, { recursive: true, encoding: "utf8" })
        .filter(file => file.endsWith(".test.js"))
        .sort()
        .map(file => `${root}/dist/test/${file}`);
    return nameFilters.length === 0 ? files : files.filter(file => nameFilters.some(filter => file.includes(filter)));
};

const printKnownRed = (titles: readonly string[]): void => {
    if (titles.length > 0) {
        process.stdout.write(`known red, passed over:\n${titles.map(title => `  ${title}\n`).join("")}`);
    }
};

const main = async (): Promise<void> => {
    const knownRed = readKnownRedTitles();
    const mocha = new Mocha({ timeout: defaultTimeoutMs, reporter: "spec", color: false });
    findTestFiles().forEach(file => mocha.addFile(file));
    await mocha.loadFilesAsync();
    const failed: string[] = [];
    let passed = 0;
    const runner = mocha.run(() => {
        const unexpected = failed.filter(title => !knownRed.has(title));
        printKnownRed(failed.filter(title => knownRed.has(title)));
        process.stdout.write(`${passed} passed, ${unexpected.length} failed\n`);
        process.exit(unexpected.length === 0 && passed > 0 ? 0 : 1);
    });
    runner.on("pass", () => {
        passed += 1;
    });
    runner.on("fail", test => failed.push(test.fullTitle()));
};

void main();
