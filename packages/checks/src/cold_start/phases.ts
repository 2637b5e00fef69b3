/** When each phase of a start was over, from the logs of the instances. */

/** Log events that end a phase, in the order in which they usually come. */
export const PHASE_EVENTS = {
  configuration: "configuration_in_force",
  listening: "started",
  first_server: "server_seen",
  following: "relay_followed",
  lease: "lease_held",
  first_order: "layers_ordered",
} as const;
export type PhaseName = keyof typeof PHASE_EVENTS;

/** Times from the first to the last instance, in milliseconds. */
export interface Phase {
  readonly name: string;
  readonly count: number;
  readonly firstMs: number;
  readonly quarterMs: number;
  readonly medianMs: number;
  readonly nineTenthsMs: number;
  readonly lastMs: number;
}

const LINE = /time=(\S+) .*?event=(\w+)/;

/** First time of each phase's event after a moment, in one instance's log. */
export function phaseTimesOf(
  log: string,
  afterUnixMs: number,
): ReadonlyMap<PhaseName, number> {
  const times = new Map<PhaseName, number>();
  const names = Object.keys(PHASE_EVENTS) as PhaseName[];
  for (const line of log.split("\n")) {
    const [, time = "", event] = LINE.exec(line) ?? [];
    const at = Date.parse(time);
    const name = names.find((each) => PHASE_EVENTS[each] === event);
    if (name && at >= afterUnixMs && !times.has(name))
      times.set(name, at - afterUnixMs);
  }
  return times;
}

/** Summarises the times of one phase; `null` if it was never over. */
export function describePhase(
  name: string,
  timesMs: readonly number[],
): Phase | null {
  const sorted = [...timesMs].sort((a, b) => a - b);
  const at = (share: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
  if (sorted.length === 0) return null;
  return {
    name,
    count: sorted.length,
    firstMs: at(0),
    quarterMs: at(0.25),
    medianMs: at(0.5),
    nineTenthsMs: at(0.9),
    lastMs: at(1),
  };
}
