/** `npm run bench -- membership`: what instances cost one another. */
import type { BenchCommand } from "../bench_command.ts";
import { type FleetFigures, measureFleet } from "./measure.ts";

const DEFAULT_SEED = 7;
const SIZES = [
  { size: 4, domains: 3, links: "udp" },
  { size: 16, domains: 3, links: "udp" },
  { size: 64, domains: 8, links: "udp" },
  { size: 340, domains: 8, links: "fake" },
] as const;

const COLUMNS = [
  "instances",
  "links",
  "settled s",
  "B/s p50",
  "B/s max",
  "note change B/s p50",
  "note change B/s max",
  "datagrams/s",
  "cpu %",
  "note ms p50",
  "note ms max",
  "death ms p50",
  "death ms max",
  "false suspicions",
] as const;

/** Runs all sizes or those named; the first word is the seed. */
export const membershipBench: BenchCommand = {
  summary: "bytes/s, processor time, spread and detection of membership",
  async run([seedWord, ...sizeWords]) {
    const seed = Number(seedWord ?? DEFAULT_SEED);
    console.log(`seed ${seed}`);
    console.log(COLUMNS.join(" | "));
    const all: FleetFigures[] = [];
    const isWanted = ({ size }: { readonly size: number }) =>
      sizeWords.length === 0 || sizeWords.includes(String(size));
    for (const shape of SIZES.filter(isWanted)) {
      const figures = await measureFleet({ ...shape, seed });
      all.push(figures);
      console.log(row(figures));
    }
    const rates = all.map(
      ({ size, bytesPerSecond }) => `${size}:${Math.round(bytesPerSecond.p50)}`,
    );
    console.log(`membership bytes/s ${rates.join(" ")}`);
    return 0;
  },
};

function row(figures: FleetFigures): string {
  const cells = [
    figures.size,
    figures.links,
    (figures.settledMs / 1_000).toFixed(1),
    Math.round(figures.bytesPerSecond.p50),
    Math.round(figures.bytesPerSecond.max),
    Math.round(figures.afterNoteChange.p50),
    Math.round(figures.afterNoteChange.max),
    figures.datagramsPerSecond.toFixed(1),
    figures.cpuPercent.toFixed(3),
    Math.round(figures.spreadMs.p50),
    Math.round(figures.spreadMs.max),
    Math.round(figures.detectionMs.p50),
    Math.round(figures.detectionMs.max),
    figures.falseSuspicions,
  ];
  return cells.join(" | ");
}
