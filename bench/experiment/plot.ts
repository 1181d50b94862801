import { parse, View } from "vega";
import { compile } from "vega-lite";
import type { TopLevelSpec } from "vega-lite";
import type { ReplayResult } from "./types.js";

/** Results of one variant of the policy. */
export interface Variant {
    name: string;
    results: readonly ReplayResult[];
}

const plotHeight = 220;

/** Draws the shares of value earned by stream and variant, with 95 % confidence intervals, as SVG. */
export const plotEarnedShares = async (variants: readonly Variant[]): Promise<string> => {
    const values = variants.flatMap(({ name, results }) =>
        results.flatMap(result =>
            result.streams.map(({ stream, earnedShare }) => ({ variant: name, stream, earnedShare }))
        )
    );
    const x = { field: "variant", type: "nominal", title: null } as const;
    const spec: TopLevelSpec = {
        data: { values },
        height: plotHeight,
        facet: { column: { field: "stream", type: "nominal", title: "share of value earned, mean and 95 % interval" } },
        spec: {
            layer: [
                {
                    mark: "bar",
                    encoding: {
                        x,
                        y: { field: "earnedShare", aggregate: "mean", type: "quantitative", scale: { domain: [0, 1] } },
                        color: { field: "variant", type: "nominal", legend: null },
                    },
                },
                {
                    mark: { type: "errorbar", extent: "ci" },
                    encoding: { x, y: { field: "earnedShare", type: "quantitative", title: "" } },
                },
            ],
        },
    };
    return new View(parse(compile(spec).spec), { renderer: "none" }).toSVG();
};
