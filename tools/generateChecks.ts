/** Generates the validators of settings, statements and job requests from their JSON schemas: `npm run generate`. */
import { Ajv2019 as Ajv } from "ajv/dist/2019.js";
import standaloneCode from "ajv/dist/standalone/index.js";
import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { entryVmSettingsSchema } from "../platform/settingsSchema.js";
import { intentSchema, jobRequestSchema } from "../src/configuration/jsonSchemas.js";
import { routerSettingsSchema, schedulerSettingsSchema } from "../src/node/settingsSchemas.js";

const outputDirectory = fileURLToPath(new URL("../../src/generated/", import.meta.url));

const schemas = {
    validateIntent: intentSchema,
    validateJobRequest: jobRequestSchema,
    validateRouterSettings: routerSettingsSchema,
    validateSchedulerSettings: schedulerSettingsSchema,
    validateEntryVmSettings: entryVmSettingsSchema,
};

const header = `import { createRequire } from "node:module";
const require = createRequire(import.meta.url);
`;

/** Returns the source text of the module that exports the validators. */
export const generateChecks = (): string => {
    const ajv = new Ajv({
        allErrors: true,
        useDefaults: true,
        strictTypes: false,
        strictRequired: false,
        code: { source: true, esm: true },
    });
    const names = Object.entries(schemas).map(([name, schema]) => {
        ajv.addSchema(schema, name);
        return [name, name];
    });
    return header + standaloneCode.default(ajv, Object.fromEntries(names) as Record<string, string>);
};

if (process.argv[1] === fileURLToPath(import.meta.url)) {
    writeFileSync(`${outputDirectory}checks.js`, generateChecks());
}
