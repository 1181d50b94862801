import api from "undici/lib/api/index.js";
import dispatcher from "undici/lib/dispatcher/dispatcher.js";

// importing undici as a whole takes 6 MB more memory in a daemon; like its entry point, this adds the request methods
Object.assign(dispatcher.prototype, api);

/** One connection to an HTTP server. */
export { default as Client } from "undici/lib/dispatcher/client.js";

/** Several connections to an HTTP server. */
export { default as Pool } from "undici/lib/dispatcher/pool.js";
