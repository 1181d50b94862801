import { request } from "undici";

/** Status and parsed JSON body of an HTTP answer. */
export interface CliAnswer {
    status: number;
    body: unknown;
}

/** Options of {@link send}. */
export interface SendOptions {
    /** @default "GET" */
    method?: "GET" | "POST" | "DELETE";
    body?: unknown;
    headers?: Record<string, string>;
}

/** Sends a request to a daemon; throws an error that names the URL if no JSON answer arrives. */
export const send = async (url: string, options: SendOptions = {}): Promise<CliAnswer> => {
    const { method = "GET", body, headers = {} } = options;
    try {
        const response = await request(url, {
            method,
            headers: { "content-type": "application/json", ...headers },
            body: body === undefined ? undefined : JSON.stringify(body),
        });
        return { status: response.statusCode, body: await response.body.json() };
    }
    catch (error) {
        throw new Error(`no answer from ${url}: ${String(error)}`);
    }
};
