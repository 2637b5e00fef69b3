/** One seeded history of bookings by the same keys on several instances. */
import type { ServiceCall, ServiceCallResult } from "@rosemarypin/calls";
import { createMemoryStore } from "@rosemarypin/fakes";
import { createSeededRandom, type SeededRandom } from "../seeded_random.ts";
import { createFaults, type Faults } from "./faults.ts";
import { createFaultyStore, type StoreOutage } from "./faulty_store.ts";
import { type Instance, SERVICE, startInstance } from "./instance.ts";
import { createInterleaving, type Interleaving } from "./interleaving.ts";
import { createJournaledService } from "./journaled_service.ts";
import { judge, type Told, type Verdict } from "./judge.ts";

const CRASH_CHANCE = 0.01;
const FREEZE_CHANCE = 0.015;
const OUTAGE_CHANCE = 0.01;
const OUTAGE_END_CHANCE = 0.05;
const OTHER_BODY_CHANCE = 0.15;
const LOOKUP_CHANCE = 0.5;
const REFUSING_SHARE = 0.3;
const DEADLINE_MS = 10_000;
const LATEST_START_MS = 3_000;
const LATEST_RESTART_MS = 10_000;
const LAST_TRIES = 3;
/** Longer than any store gate stays shut after an outage. */
const RECOVERY_MS = 20_000;

/** How large a history is; smaller ones are tried to show a break. */
export interface HistorySize {
  readonly seed: number;
  readonly instances: number;
  readonly keys: number;
  readonly callsPerKey: number;
  readonly faults: number;
}

/** A whole history with its verdict. */
export interface HistoryResult extends Verdict {
  readonly size: HistorySize;
  readonly events: readonly string[];
}

/** Sizes that a seed leads to. */
export function sizeOf(seed: number): HistorySize {
  const random = createSeededRandom(seed);
  return {
    seed,
    instances: random.between(2, 4),
    keys: random.between(1, 2),
    callsPerKey: random.between(2, 4),
    faults: random.between(0, 8),
  };
}

/** Runs one history to its end and judges it. */
export async function runHistory(size: HistorySize): Promise<HistoryResult> {
  const random = createSeededRandom(size.seed);
  const interleaving = createInterleaving(random);
  try {
    const deployment = createDeployment(size, { random, interleaving });
    for (const booking of planBookings(size, random)) {
      void deployment.start(booking);
    }
    await interleaving.drive(deployment.strike);
    deployment.recover();
    for (const key of keysOf(size)) void deployment.askLast(key);
    await interleaving.drive(() => {});
    const { journal, told } = deployment;
    return { ...judge(journal, told), size, events: interleaving.history };
  } finally {
    interleaving.close();
  }
}

interface Booking {
  readonly key: string;
  readonly requestId: string;
  readonly body: string;
  readonly startsAfterMs: number;
  readonly last: boolean;
}

function keysOf({ keys }: HistorySize): string[] {
  return Array.from({ length: keys }, (_, index) => `key-${index + 1}`);
}

function planBookings(size: HistorySize, random: SeededRandom): Booking[] {
  return keysOf(size).flatMap((key) =>
    Array.from({ length: size.callsPerKey }, (_, index) => ({
      key,
      requestId: `${key}-call-${index + 1}`,
      body: random.chance(OTHER_BODY_CHANCE) ? "other" : "part 7",
      startsAfterMs: random.between(0, LATEST_START_MS),
      last: false,
    })),
  );
}

function createDeployment(
  size: HistorySize,
  options: {
    readonly random: SeededRandom;
    readonly interleaving: Interleaving;
  },
) {
  const { random, interleaving } = options;
  const faults: Faults = createFaults(random, size.faults);
  const memory = createMemoryStore();
  const outage: StoreOutage = { away: false };
  const refusing = random.chance(REFUSING_SHARE);
  const service = createJournaledService({ interleaving, faults, refusing });
  const withLookup = random.chance(LOOKUP_CHANCE);
  const told: Told[] = [];
  let incarnation = 0;
  /** Those that now run; a crashed one is missing until it is back. */
  const instances = Array.from({ length: size.instances }, (_, index) =>
    launch(`entry-${index + 1}`),
  );

  function launch(id: string): Instance {
    incarnation += 1;
    return startInstance({
      id,
      incarnation,
      store: createFaultyStore({ memory, interleaving, faults, outage }),
      client: service.client,
      withLookup,
      interleaving,
      faults,
      running: () => instances,
    });
  }

  async function start(booking: Booking): Promise<ServiceCallResult | null> {
    await interleaving.sleep(booking.startsAfterMs);
    await interleaving.pause(`${booking.requestId} is made`);
    const instance = random.pick(instances as [Instance, ...Instance[]]);
    interleaving.note(`${instance.process.name} takes ${booking.requestId}`);
    const result = await interleaving.run(instance.process, () =>
      instance.call(callOf(booking)),
    );
    if (interleaving.hasCrashed(instance.process)) return null;
    interleaving.note(`${booking.requestId} is told ${describe(result)}`);
    told.push({ ...booking, result });
    return result;
  }

  /** Perhaps lets something fail; called before each step. */
  function strike(): void {
    if (outage.away && random.chance(OUTAGE_END_CHANCE)) outage.away = false;
    if (faults.strikes(OUTAGE_CHANCE)) {
      outage.away = true;
      interleaving.note("the store goes away");
    }
    const instance = random.pick(instances as [Instance, ...Instance[]]);
    if (faults.strikes(FREEZE_CHANCE)) interleaving.freeze(instance.process);
    const isLast = instances.length === 1;
    if (!isLast && faults.strikes(CRASH_CHANCE)) void crash(instance);
  }

  async function crash(instance: Instance): Promise<void> {
    interleaving.crash(instance.process);
    instances.splice(instances.indexOf(instance), 1);
    await interleaving.sleep(random.between(0, LATEST_RESTART_MS));
    instances.push(launch(instance.id));
  }

  function recover(): void {
    faults.end();
    outage.away = false;
    interleaving.note("all is well again");
  }

  /** Retries after the delay of the response, as callers do. */
  async function askLast(key: string): Promise<void> {
    await interleaving.sleep(RECOVERY_MS);
    for (let tries = 1; tries <= LAST_TRIES; tries++) {
      const requestId = `${key}-last-${tries}`;
      const booking = { key, requestId, body: "part 7", last: true };
      const result = await start({ ...booking, startsAfterMs: 0 });
      if (result?.kind !== "failed") break;
      const { outcome, retryAfterSeconds } = result.failure;
      if (outcome !== "not_run") break;
      await interleaving.sleep((retryAfterSeconds ?? 0) * 1_000);
    }
  }

  return { start, strike, recover, askLast, journal: service.journal, told };
}

function callOf({ key, requestId, body }: Booking): ServiceCall {
  return {
    requestId,
    organisation: "kano",
    service: SERVICE,
    idempotencyKey: key,
    deadlineAt: Date.now() + DEADLINE_MS,
    request: {
      method: "POST",
      path: "/orders",
      headers: { "idempotency-key": key, "x-request-id": requestId },
      body: Buffer.from(body),
    },
  };
}

function describe(result: ServiceCallResult): string {
  if (result.kind === "failed") {
    return `${result.failure.outcome} (${result.failure.code})`;
  }
  return `the answer ${result.answer.body.toString()}`;
}
