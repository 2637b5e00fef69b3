/** Measures one fleet: traffic, processor time, spread, detection. */
import { type Fleet, type FleetMember, startFleet } from "./fleet.ts";

const SETTLE_LIMIT_MS = 20_000;
/** New members sync faster for a while; the rest starts after that. */
const NEW_FOR_MS = 12_500;
const REST_MS = 4_000;
/** Note changes measured for each size; each is one round of spread. */
const NOTE_CHANGES = 3;
const DETECTION_LIMIT_MS = 15_000;
const POLL_MS = 20;
/** Looking at all tables is dear; it must not weigh in the figures. */
const SETTLE_POLL_MS = 1_000;
const MOST_DEATHS = 3;

/** Figures of one size. */
export interface FleetFigures {
  readonly size: number;
  readonly links: "udp" | "fake";
  readonly settledMs: number;
  /** At rest, sent and received, headers included. */
  readonly bytesPerSecond: { readonly p50: number; readonly max: number };
  /** In the seconds in which every record of the fleet changes. */
  readonly afterNoteChange: { readonly p50: number; readonly max: number };
  readonly datagramsPerSecond: number;
  /** Percent of one core, for each instance. */
  readonly cpuPercent: number;
  readonly spreadMs: { readonly p50: number; readonly max: number };
  readonly detectionMs: { readonly p50: number; readonly max: number };
  readonly falseSuspicions: number;
}

/** Starts a fleet, measures it and stops it. */
export async function measureFleet(options: {
  readonly size: number;
  readonly domains: number;
  readonly links: "udp" | "fake";
  readonly seed: number;
}): Promise<FleetFigures> {
  const fleet = await startFleet(options);
  const settledMs = await settle(fleet);
  await sleep(Math.max(0, NEW_FOR_MS - settledMs));
  const rest = await measureTraffic(fleet, REST_MS);
  fleet.members[0]?.membership.share({ note: 1 });
  const noteChange = await measureTraffic(fleet, REST_MS);
  const spread = await measureSpread(fleet);
  const falseSuspicions = countSuspects(fleet.members);
  const detection = await measureDetection(fleet);
  await fleet.stop();
  const { size, links } = options;
  return {
    size,
    links,
    settledMs,
    ...rest,
    afterNoteChange: noteChange.bytesPerSecond,
    spreadMs: spread,
    detectionMs: detection,
    falseSuspicions,
  };
}

async function settle({ members }: Fleet): Promise<number> {
  const startedAt = performance.now();
  while (!members.every((member) => knowsAll(member, members.length))) {
    if (performance.now() - startedAt > SETTLE_LIMIT_MS) return Infinity;
    await sleep(SETTLE_POLL_MS);
  }
  return performance.now() - startedAt;
}

function knowsAll({ membership }: FleetMember, size: number): boolean {
  return membership.peers().length === size - 1;
}

/** Traffic of a span of time, by instance. */
async function measureTraffic(fleet: Fleet, durationMs: number) {
  const before = fleet.members.map((member) => member.traffic());
  const cpuBefore = process.cpuUsage();
  const startedAt = performance.now();
  await sleep(durationMs);
  const seconds = (performance.now() - startedAt) / 1_000;
  const cpu = process.cpuUsage(cpuBefore);
  const after = fleet.members.map((member) => member.traffic());
  const rates = after.map(
    ({ bytes }, at) => (bytes - (before[at]?.bytes ?? 0)) / seconds,
  );
  const datagrams = after.map(
    (now, at) => (now.datagrams - (before[at]?.datagrams ?? 0)) / seconds,
  );
  const cpuSeconds = (cpu.user + cpu.system) / 1e6;
  return {
    bytesPerSecond: summary(rates),
    datagramsPerSecond: summary(datagrams).p50,
    cpuPercent: (cpuSeconds / seconds / fleet.members.length) * 100,
  };
}

async function measureSpread(fleet: Fleet) {
  const times: number[] = [];
  for (let change = 0; change < NOTE_CHANGES; change++) {
    const note = 2 + change;
    const origin = fleet.members[change % fleet.members.length];
    if (!origin) continue;
    const sharedAt = performance.now();
    origin.membership.share({ note });
    const others = fleet.members.filter((member) => member !== origin);
    await timeUntil(DETECTION_LIMIT_MS, () =>
      others.every(({ heardNotes }) => heardNotes.has(note)),
    );
    for (const { heardNotes } of others) {
      times.push((heardNotes.get(note) ?? Infinity) - sharedAt);
    }
    await sleep(500);
  }
  return summary(times);
}

/** Time until every other member holds the dead one for silent. */
async function measureDetection(fleet: Fleet) {
  const deaths = Math.min(MOST_DEATHS, Math.floor(fleet.members.length / 4));
  const victims = fleet.members.slice(-deaths);
  const living = fleet.members.slice(0, -deaths);
  const times: number[] = [];
  for (const victim of victims) times.push(...(await detect(victim, living)));
  return summary(times);
}

async function detect(
  victim: FleetMember,
  living: readonly FleetMember[],
): Promise<number[]> {
  const seen = new Map<string, number>();
  const killedAt = performance.now();
  const stops = living.map((member) =>
    member.membership.onNews(({ id }) => {
      if (id !== victim.id || seen.has(member.id)) return;
      if (!suspects(member).has(victim.id)) return;
      seen.set(member.id, performance.now() - killedAt);
    }),
  );
  await victim.kill();
  await timeUntil(DETECTION_LIMIT_MS, () => seen.size === living.length);
  for (const stop of stops) stop();
  return living.map(({ id }) => seen.get(id) ?? Infinity);
}

function suspects({ membership }: FleetMember): Set<string> {
  const silent = membership.peers().filter(({ state }) => state === "suspect");
  return new Set(silent.map(({ record }) => record.id));
}

function countSuspects(members: readonly FleetMember[]): number {
  return new Set(members.flatMap((member) => [...suspects(member)])).size;
}

async function timeUntil(
  limitMs: number,
  condition: () => boolean,
): Promise<number> {
  const startedAt = performance.now();
  while (!condition()) {
    if (performance.now() - startedAt > limitMs) return Infinity;
    await sleep(POLL_MS);
  }
  return performance.now() - startedAt;
}

function summary(values: readonly number[]) {
  const sorted = [...values].sort((a, b) => a - b);
  const p50 = sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
  return { p50, max: sorted.at(-1) ?? Number.NaN };
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
