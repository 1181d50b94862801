import { parse, View } from "vega";
import { compile } from "vega-lite";
import type { TopLevelSpec } from "vega-lite";
import type { ReplayResult } from "./types.js";

/** Results of one variant of the policy. */
export interface Variant {
    name: string;
    results: readonly ReplayResult[];
}

const plotWidth = 360;

/** Draws the shares of value earned by stream and variant, with 95 % confidence intervals, as SVG. */
export const plotEarnedShares = async (variants: readonly Variant[]): Promise<string> => {
    const values = variants.flatMap(({ name, results }) =>
        results.flatMap(result =>
            result.streams
                .filter(({ jobs }) => jobs > 0)
                .map(({ stream, earnedShare }) => ({ variant: name, stream, earnedShare }))
        )
    );
    const y = { field: "variant", type: "nominal", title: null, axis: { labelLimit: plotWidth } } as const;
    const spec: TopLevelSpec = {
        data: { values },
        facet: { row: { field: "stream", type: "nominal", title: "share of value earned, mean and 95 % interval" } },
        spec: {
            width: plotWidth,
            layer: [
                {
                    mark: "bar",
                    encoding: {
                        y,
                        x: { field: "earnedShare", aggregate: "mean", type: "quantitative", scale: { domain: [0, 1] } },
                        color: { field: "variant", type: "nominal", legend: null },
                    },
                },
                {
                    mark: { type: "errorbar", extent: "ci" },
                    encoding: { y, x: { field: "earnedShare", type: "quantitative", title: null } },
                },
            ],
        },
    };
    return new View(parse(compile(spec).spec), { renderer: "none" }).toSVG();
};
