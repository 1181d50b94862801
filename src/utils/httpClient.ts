import api from "undici/lib/api/index.js";
import dispatcher from "undici/lib/dispatcher/dispatcher.js";

// loading the library as a whole costs a daemon 6 MB more; its entry point adds the request methods like this
Object.assign(dispatcher.prototype, api);

/** One connection to an HTTP server. */
export { default as Client } from "undici/lib/dispatcher/client.js";

/** Several connections to an HTTP server. */
export { default as Pool } from "undici/lib/dispatcher/pool.js";
