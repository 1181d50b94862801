/** Types of the undici modules that `httpClient.ts` imports individually. */
declare module "undici/lib/dispatcher/pool.js" {
    export { Pool as default } from "undici";
}

declare module "undici/lib/dispatcher/client.js" {
    export { Client as default } from "undici";
}

declare module "undici/lib/dispatcher/dispatcher.js" {
    export { Dispatcher as default } from "undici";
}

declare module "undici/lib/api/index.js" {
    const api: Record<string, unknown>;
    export default api;
}
