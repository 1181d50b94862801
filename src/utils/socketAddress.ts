import { isIPv4 } from "node:net";

const maxPort = 65_535;

/** Whether a value is `host:port`, with an IPv4 address or a host name and a port to which a connection can be opened. */
export const isSocketAddress = (value: unknown): value is string => {
    const [, host, port] = typeof value === "string" ? /^([\w.-]+):(\d{1,5})$/.exec(value) ?? [] : [];
    const isNumeric = host !== undefined && /^[\d.]+$/.test(host);
    return host !== undefined && (!isNumeric || isIPv4(host)) && Number(port) >= 1 && Number(port) <= maxPort;
};
