import { request } from "undici";

/** An HTTP answer as the command line sees it. */
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

/** Sends a request to a daemon; throws a readable error when it cannot be reached. */
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
