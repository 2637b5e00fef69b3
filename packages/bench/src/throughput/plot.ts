/** Plots of a run as SVG, one panel for each figure. */
import { scaleLinear, scalePoint } from "d3-scale";
import { line } from "d3-shape";
import {
  type Column,
  columns,
  distinct,
  type Results,
  spreadAt,
} from "./results.ts";

const PANEL = { width: 320, height: 220 };
const MARGIN = { top: 34, right: 16, bottom: 34, left: 52 };
const PANELS_PER_ROW = 3;
const TICKS = 4;
const COLOURS = ["#0b6e4f", "#c1440e", "#2f4b7c", "#8f6a00"];

/** Renders all figures over load, one line for each policy. */
export function renderPlot(results: Results): string {
  const policies = distinct(results.rows.map(({ policy }) => policy));
  const panels = columns.map((column, index) => {
    const x = (index % PANELS_PER_ROW) * PANEL.width;
    const y = Math.floor(index / PANELS_PER_ROW) * PANEL.height;
    const body = renderPanel(results, { column, policies });
    return `<g transform="translate(${x},${y})">${body}</g>`;
  });
  const rows = Math.ceil(columns.length / PANELS_PER_ROW);
  const width = PANEL.width * PANELS_PER_ROW;
  const height = PANEL.height * rows + MARGIN.top;
  const legend = policies
    .map((policy, index) => {
      const x = MARGIN.left + index * 150;
      const y = height - 10;
      return `<text x="${x}" y="${y}" fill="${colourOf(index)}">${policy}</text>`;
    })
    .join("");
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12"><rect width="100%" height="100%" fill="white"/>${panels.join("")}${legend}</svg>\n`;
}

function renderPanel(
  results: Results,
  options: { readonly column: Column; readonly policies: readonly string[] },
): string {
  const { column, policies } = options;
  const loads = distinct(results.rows.map(({ load }) => load));
  const at = (policy: string, load: number) =>
    spreadAt(results, { policy, load, key: column.key });
  const highest = Math.max(
    ...policies.flatMap((policy) =>
      loads.map((load) => at(policy, load).highest),
    ),
  );
  const x = scalePoint(loads, [MARGIN.left, PANEL.width - MARGIN.right]);
  const y = scaleLinear(
    [0, highest || 1],
    [PANEL.height - MARGIN.bottom, MARGIN.top],
  ).nice();
  const series = policies.map((policy, index) => {
    const points = loads.map((load): [number, number] => [
      x(load) ?? 0,
      y(at(policy, load).median),
    ]);
    const spreads = loads.map((load) => {
      const { lowest, highest: top } = at(policy, load);
      const px = x(load) ?? 0;
      return `<line x1="${px}" x2="${px}" y1="${y(lowest)}" y2="${y(top)}" stroke="${colourOf(index)}"/>`;
    });
    const path = line()(points) ?? "";
    return `<path d="${path}" fill="none" stroke="${colourOf(index)}" stroke-width="2"/>${spreads.join("")}`;
  });
  const ticks = y.ticks(TICKS).map((value) => {
    const py = y(value);
    return `<line x1="${MARGIN.left}" x2="${PANEL.width - MARGIN.right}" y1="${py}" y2="${py}" stroke="#ddd"/><text x="${MARGIN.left - 6}" y="${py + 4}" text-anchor="end">${column.format(value)}</text>`;
  });
  const labels = loads.map(
    (load) =>
      `<text x="${x(load) ?? 0}" y="${PANEL.height - MARGIN.bottom + 16}" text-anchor="middle">${load}</text>`,
  );
  const title = `<text x="${MARGIN.left}" y="20" font-weight="bold">${column.title} over load</text>`;
  return [title, ...ticks, ...series, ...labels].join("");
}

function colourOf(index: number): string {
  return COLOURS[index % COLOURS.length] ?? "black";
}
