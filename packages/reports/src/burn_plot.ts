/** Draws the missed share of one objective over the last hour as SVG. */
import type { EventCount } from "@rosemarypin/schemas";
import { scaleLinear } from "d3-scale";
import { area, line } from "d3-shape";

const WIDTH = 640;
const HEIGHT = 160;
const MARGIN = { left: 48, right: 12, top: 12, bottom: 28 };
const TICK_COUNT = 4;
/** Room above the budget line, so that a met objective is not all plot. */
const LEAST_TOP_IN_BUDGETS = 3;

interface Point {
  /** Minutes before now, as a negative number. */
  readonly minute: number;
  /** Share of events that missed; 0 without events. */
  readonly share: number;
}

/** A plot with the share that the target allows as a dashed line. */
export function plotMissedShare(
  minutes: readonly EventCount[],
  target: number,
): string {
  const points = minutes.map(({ total, missed }, index): Point => {
    const minute = index - minutes.length + 1;
    return { minute, share: total === 0 ? 0 : missed / total };
  });
  const allowed = 1 - target;
  const highest = Math.max(...points.map(({ share }) => share), 0);
  const top = Math.min(1, Math.max(highest, allowed * LEAST_TOP_IN_BUDGETS));
  const x = scaleLinear()
    .domain([1 - minutes.length, 0])
    .range([MARGIN.left, WIDTH - MARGIN.right]);
  const y = scaleLinear()
    .domain([0, top])
    .range([HEIGHT - MARGIN.bottom, MARGIN.top]);
  const shape = area<Point>()
    .x(({ minute }) => x(minute))
    .y0(y(0))
    .y1(({ share }) => y(share));
  const edge = line<Point>()
    .x(({ minute }) => x(minute))
    .y(({ share }) => y(share));
  return [
    `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="missed share by minute">`,
    ...y.ticks(TICK_COUNT).map((tick) => yTick(tick, y(tick))),
    ...x.ticks(TICK_COUNT).map((tick) => xTick(tick, x(tick))),
    `<path class="area" d="${shape(points) ?? ""}"/>`,
    `<path class="edge" d="${edge(points) ?? ""}"/>`,
    `<line class="allowed" x1="${MARGIN.left}" x2="${WIDTH - MARGIN.right}" y1="${y(allowed)}" y2="${y(allowed)}"/>`,
    "</svg>",
  ].join("\n");
}

function yTick(share: number, at: number): string {
  const label = `${Number((share * 100).toFixed(2))}%`;
  return (
    `<line class="grid" x1="${MARGIN.left}" x2="${WIDTH - MARGIN.right}" y1="${at}" y2="${at}"/>` +
    `<text x="${MARGIN.left - 6}" y="${at + 4}" text-anchor="end">${label}</text>`
  );
}

function xTick(minute: number, at: number): string {
  const label = minute === 0 ? "now" : `${minute} min`;
  return `<text x="${at}" y="${HEIGHT - 8}" text-anchor="middle">${label}</text>`;
}
