import { type BurnSeries, BurnWindow } from "@mustardweir/protocol";
import { Resolution, RESOLUTIONS, WINDOWS } from "../windows.ts";
import {
  type BurnReply,
  describeMissing,
  describeSeries,
  FIGURE_HEADINGS,
  formatFigureCells,
} from "./burn_reply.ts";
import { type PlotOptions, renderPlot } from "./plot.ts";

const STYLE = `
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto;
  max-width: 68rem; padding: 0 1rem; color: #222; background: #fff; }
h2 { font-size: 1.1rem; margin-top: 2rem; }
h3 { font-size: .95rem; font-weight: normal; margin: 1rem 0 .2rem; }
.table { overflow-x: auto; }
table { border-collapse: collapse; font-variant-numeric: tabular-nums; }
th, td { padding: .15rem .5rem; text-align: right; white-space: nowrap; }
th { font-size: .75rem; border-bottom: 1px solid #999; }
svg { width: 100%; height: auto; }
svg text { font-size: 11px; fill: #555; }
svg .end { text-anchor: end; }
.axis { stroke: #999; }
.in-time { fill: #2a7f9e; }
.late { fill: #c0392b; }
.key::before { content: ""; display: inline-block; width: .8em; height: .8em;
  margin-right: .4em; background: currentColor; }
.key { margin-right: 1.5em; }
.key-in-time { color: #2a7f9e; }
.key-late { color: #c0392b; }
.alert-fast { color: #c0392b; }
.alert-slow { color: #a86400; }
.missing { border-left: 4px solid #a86400; padding-left: 1rem; }
`;

const PLOTS: readonly PlotOptions[] = [
  {
    title: "Last hour, by minute",
    widthMs: RESOLUTIONS[Resolution.Minute].widthMs,
    spanMs: WINDOWS[BurnWindow.OneHour].lengthMs,
  },
  {
    title: "Last three days, by half hour",
    widthMs: RESOLUTIONS[Resolution.HalfHour].widthMs,
    spanMs: WINDOWS[BurnWindow.ThreeDays].lengthMs,
  },
];

/**
 * Returns the report as one HTML page without external resources.
 *
 * @example
 * ```ts
 * writeFileSync("burn.html", renderBurnHtml(reply));
 * ```
 */
export function renderBurnHtml(report: BurnReply): string {
  return [
    "<!doctype html>",
    '<html lang="en">',
    '<head><meta charset="utf-8">',
    '<meta name="viewport" content="width=device-width">',
    `<title>Service-level burn</title><style>${STYLE}</style></head>`,
    "<body><h1>Service-level burn</h1>",
    `<p>As of ${escapeHtml(report.asOf)}, configuration version ${
      escapeHtml(report.configurationVersion)
    }; told by ${
      escapeHtml(report.schedulers.join(", ") || "no scheduler")
    }.</p>`,
    renderMissing(report),
    '<p><span class="key key-in-time">started in time</span>',
    '<span class="key key-late">started late</span></p>',
    ...report.series.map((series) => renderSeries(report, series)),
    "</body></html>",
  ].join("\n");
}

/**
 * Escapes a value for use in HTML text and attributes.
 *
 * @example
 * ```ts
 * escapeHtml("<b>"); // "&lt;b&gt;"
 * ```
 */
export function escapeHtml(value: string | number): string {
  const entities: Readonly<Record<string, string>> = {
    "&": "&amp;",
    "<": "&lt;",
    ">": "&gt;",
    '"': "&quot;",
    "'": "&#39;",
  };
  return String(value).replaceAll(/[&<>"']/g, (char) => entities[char] ?? "");
}

function renderMissing(report: BurnReply): string {
  const lines = describeMissing(report);
  if (lines.length === 0) {
    return "<p>Nothing is missing from this report.</p>";
  }
  const items = lines.map((line) => `<li>${escapeHtml(line)}</li>`).join("");
  return `<div class="missing"><h2>Missing</h2><ul>${items}</ul></div>`;
}

function renderSeries(report: BurnReply, series: BurnSeries): string {
  const headings = FIGURE_HEADINGS.map((heading) => `<th>${heading}</th>`).join(
    "",
  );
  const rows = series.windows.map((figures) =>
    `<tr>${
      formatFigureCells(figures).map((cell) => `<td>${escapeHtml(cell)}</td>`)
        .join(
          "",
        )
    }</tr>`
  );
  const plots = PLOTS.map((plot) =>
    `<h3>${plot.title}</h3>${renderPlot(report, series, plot)}`
  );
  return [
    `<h2 class="alert-${series.alert}">${
      escapeHtml(describeSeries(series))
    }</h2>`,
    `<div class="table"><table><tr>${headings}</tr>${
      rows.join("")
    }</table></div>`,
    ...plots,
  ].join("\n");
}
