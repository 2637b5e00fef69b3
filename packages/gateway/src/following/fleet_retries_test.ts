import {
  createInstanceDomain,
  mostRetriesBeyond,
  type RetryStep,
  type StoreFaults,
  testSeeds,
} from "@rosemarypin/fakes";
import { createRetryBudget, type RetryLimit } from "@rosemarypin/limits";
import type { StoredObject } from "@rosemarypin/store";
import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createFleetShare } from "./fleet_share.ts";
import { startPresence } from "./presence.ts";
import { PRESENCE_PREFIX } from "./presence_table.ts";

const LIMIT: RetryLimit = { ratio: 0.2, windowMs: 10_000, slack: 200 };
const STEP_MS = 250;
const REQUESTS_PER_STEP = 4;
const RETRIES_WANTED_PER_STEP = 12;
/** Age of the lists that a store of old lists answers. */
const STALE_STEPS = 20;
const NAMES = ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8"];
const SEEDS = testSeeds([61, 2, 7, 12, 13, 1_194_104_856, 396_224_581]);
const SLACKS = [200, 30];
const CASES = SEEDS.flatMap((each) =>
  SLACKS.map((slack) => ({ ...each, slack })),
);

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

function createFleet(limit: RetryLimit) {
  return createInstanceDomain(async ({ name, address, store, signal }) => {
    const presence = startPresence({
      store,
      instance: name,
      failureDomain: `domain of ${name}`,
      peer: address,
      signal,
    });
    const share = createFleetShare({
      windowMs: limit.windowMs,
      view: presence.fleetView,
    });
    return { presence, share, budget: createRetryBudget(limit, share) };
  });
}

/** What happens to one instance, or to all; one that doesn't run is started. */
const INSTANCE_EVENTS = [
  "start",
  "kill",
  "restart",
  "leave",
  "cut",
  "heal",
  "slow",
  "lose_renewals",
  "lose_replies",
  "restart_all",
] as const;
/** The same, and what happens to the store, to servers and to traffic. */
const EVENTS = [
  "start",
  "kill",
  "restart",
  "restart_twice",
  "leave",
  "cut",
  "heal",
  "slow",
  "stalled",
  "lose_renewals",
  "lose_replies",
  "old_lists",
  "remove_entry",
  "remove_entry_and_restart",
  "restart_all",
  "remove_entries_and_restart_all",
  "join_all",
  "cut_all",
  "slow_all",
  "old_lists_for_all",
  "store_lags",
  "heal_all",
  "servers_fail",
  "servers_recover",
  "traffic_moves",
  "traffic_spreads",
] as const;

interface FleetEvent {
  readonly kind: (typeof EVENTS)[number];
  readonly name: string;
}

const HEALED = { down: false, delayMs: 2, staleObjects: null };

interface Trial {
  readonly apply: (event: FleetEvent) => void;
  readonly advance: (steps: number) => Promise<void>;
}

const ANY = { name: "i-1" } as const;

/** Each began within the limit of every instance and exceeded that of all. */
const SCENARIOS: readonly {
  readonly name: string;
  readonly slack: number;
  readonly play: (trial: Trial) => Promise<void>;
}[] = [
  {
    name: "when instances join just after all have restarted",
    slack: 200,
    async play({ apply, advance }) {
      apply({ ...ANY, kind: "servers_fail" });
      await advance(8);
      apply({ ...ANY, kind: "restart_all" });
      await advance(6);
      for (const name of ["i-5", "i-6", "i-7"]) apply({ name, kind: "start" });
    },
  },
  {
    name: "when all restart while the store is away",
    slack: 30,
    async play({ apply, advance }) {
      apply({ ...ANY, kind: "servers_fail" });
      await advance(8);
      apply({ ...ANY, kind: "cut_all" });
      apply({ ...ANY, kind: "restart_all" });
    },
  },
  {
    name: "when another writer has removed the entries of all that restart",
    slack: 200,
    async play({ apply, advance }) {
      apply({ ...ANY, kind: "servers_fail" });
      await advance(8);
      apply({ ...ANY, kind: "remove_entries_and_restart_all" });
    },
  },
  {
    name: "when all start twice before their entries are renewed",
    slack: 200,
    async play({ apply, advance }) {
      apply({ ...ANY, kind: "servers_fail" });
      await advance(8);
      apply({ ...ANY, kind: "slow_all" });
      apply({ ...ANY, kind: "restart_all" });
      await advance(7);
      apply({ ...ANY, kind: "heal_all" });
      apply({ ...ANY, kind: "restart_all" });
    },
  },
  {
    name: "when the store's lists are old as all restart twice",
    slack: 200,
    async play({ apply, advance }) {
      apply({ ...ANY, kind: "servers_fail" });
      await advance(8);
      apply({ ...ANY, kind: "restart_all" });
      await advance(8);
      apply({ ...ANY, kind: "old_lists_for_all" });
      apply({ ...ANY, kind: "restart_all" });
    },
  },
  {
    name: "when all traffic moves to another instance",
    slack: 30,
    async play({ apply, advance }) {
      apply({ name: "i-1", kind: "traffic_moves" });
      await advance(44);
      apply({ ...ANY, kind: "servers_fail" });
      await advance(4);
      apply({ name: "i-2", kind: "traffic_moves" });
    },
  },
  {
    name: "when three of four instances end and the fourth gets their traffic",
    slack: 30,
    async play({ apply, advance }) {
      apply({ ...ANY, kind: "servers_fail" });
      await advance(8);
      for (const name of ["i-2", "i-3", "i-4"]) apply({ name, kind: "kill" });
    },
  },
];

/**
 * A fleet under a load that grows with its instances, or else under the load of
 * so many whatever their number.
 */
function createTrial(limit: RetryLimit, instancesOfLoad: number | null) {
  const fleet = createFleet(limit);
  const steps: RetryStep[] = [];
  const history: (readonly StoredObject[])[] = [];
  let wanted = RETRIES_WANTED_PER_STEP;
  /** The instance that gets all requests while it runs. */
  let favourite: string | null = null;
  /** Whether all lists of the store are some seconds old. */
  let isLagging = false;

  /** Those of the store itself, for processes that start meanwhile too. */
  let storeFaults: Partial<StoreFaults> = {};

  async function start(name: string): Promise<void> {
    await fleet.start(name);
    // It may have been killed meanwhile.
    if (fleet.names().includes(name)) setFaults([name], storeFaults);
  }

  function restart(name: string): void {
    if (fleet.names().includes(name)) fleet.kill(name);
    void start(name);
  }

  function removeEntry(name: string): void {
    fleet.memory.remove(`${PRESENCE_PREFIX}${name}`);
  }

  function setFaults(
    names: readonly string[],
    faults: Partial<StoreFaults>,
  ): void {
    for (const name of names) Object.assign(fleet.faults(name), faults);
  }

  function setStoreFaults(faults: Partial<StoreFaults>): void {
    storeFaults = faults;
    setFaults(fleet.names(), faults);
  }

  function leave(name: string): void {
    void fleet.get(name).presence.leave();
    setTimeout(() => {
      if (fleet.names().includes(name)) fleet.kill(name);
    }, 8_000);
  }

  function apply({ name, kind }: FleetEvent): void {
    const names = fleet.names();
    const staleObjects = history.at(-STALE_STEPS) ?? null;
    if (kind === "servers_fail") wanted = RETRIES_WANTED_PER_STEP;
    else if (kind === "servers_recover") wanted = 0;
    else if (kind === "traffic_moves") favourite = name;
    else if (kind === "traffic_spreads") favourite = null;
    else if (kind === "cut_all") setStoreFaults({ down: true });
    else if (kind === "slow_all") setStoreFaults({ delayMs: 1_000 });
    else if (kind === "old_lists_for_all") setStoreFaults({ staleObjects });
    else if (kind === "store_lags") isLagging = true;
    else if (kind === "heal_all") {
      isLagging = false;
      setStoreFaults(HEALED);
    } else if (kind === "remove_entry") removeEntry(name);
    else if (kind === "join_all") {
      for (const other of NAMES.filter((one) => !names.includes(one)))
        void start(other);
    } else if (
      kind === "restart_all" ||
      kind === "remove_entries_and_restart_all"
    ) {
      for (const each of names) {
        if (kind === "remove_entries_and_restart_all") removeEntry(each);
        restart(each);
      }
    } else if (!names.includes(name)) void start(name);
    else if (kind === "remove_entry_and_restart") {
      removeEntry(name);
      restart(name);
    } else if (kind === "restart_twice") {
      restart(name);
      setTimeout(() => restart(name), 3);
    } else if (kind === "restart") restart(name);
    else if (kind === "kill") fleet.kill(name);
    else if (kind === "leave") leave(name);
    else if (kind === "cut") setFaults([name], { down: true });
    else if (kind === "heal") setFaults([name], HEALED);
    else if (kind === "slow") setFaults([name], { delayMs: 4_000 });
    else if (kind === "stalled") setFaults([name], { delayMs: 25_000 });
    else if (kind === "lose_renewals") setFaults([name], { loseRequests: 3 });
    else if (kind === "lose_replies") setFaults([name], { loseReplies: 3 });
    else if (kind === "old_lists") setFaults([name], { staleObjects });
  }

  /** Lets each instance take all the retries that it gets meanwhile. */
  async function advance(count: number): Promise<void> {
    for (let step = 0; step < count; step += 1) {
      const names = fleet.names();
      const loaded = names.length > 0 ? (instancesOfLoad ?? names.length) : 0;
      const requestsPerStep = REQUESTS_PER_STEP * loaded;
      const isMoved = favourite !== null && names.includes(favourite);
      const receivers = names.filter((name) => !isMoved || name === favourite);
      let retries = 0;
      for (const name of names) {
        const { budget } = fleet.get(name);
        const index = receivers.indexOf(name);
        const requests = Array.from({ length: requestsPerStep }).filter(
          (_, request) => request % receivers.length === index,
        );
        for (const _ of requests) budget.countRequest("s");
        for (let want = 0; want < wanted; want += 1) {
          const retry = budget.takeRetry("s");
          retry?.send();
          if (retry) retries += 1;
        }
      }
      steps.push({ requests: requestsPerStep, retries });
      history.push(fleet.memory.objects());
      const staleObjects = history.at(-STALE_STEPS) ?? null;
      if (isLagging) setStoreFaults({ staleObjects });
      await vi.advanceTimersByTimeAsync(STEP_MS);
    }
  }

  return { fleet, steps, apply, advance };
}

/** Most retries beyond the limit in any window. */
function excess(steps: readonly RetryStep[], limit = LIMIT): number {
  return mostRetriesBeyond(limit, steps, LIMIT.windowMs / STEP_MS);
}

/** Starts instances and has events come in the order in which they are drawn. */
async function expectLimitToHold(options: {
  readonly events: readonly FleetEvent["kind"][];
  readonly loadGrows: boolean;
  readonly slack: number;
  readonly seed: number;
}): Promise<void> {
  const limit = { ...LIMIT, slack: options.slack };
  const event = fc.record({
    afterSteps: fc.integer({ min: 0, max: 30 }),
    name: fc.constantFrom(...NAMES),
    kind: fc.constantFrom(...options.events),
  });
  const property = fc.asyncProperty(
    fc.integer({ min: 1, max: NAMES.length }),
    fc.array(event, { minLength: 4, maxLength: 14 }),
    async (running, events) => {
      const trial = createTrial(limit, options.loadGrows ? null : running);
      const { fleet, steps } = trial;
      try {
        await Promise.all(NAMES.slice(0, running).map(fleet.start));
        await trial.advance(60);
        for (const { afterSteps, ...drawn } of events) {
          await trial.advance(afterSteps);
          trial.apply(drawn);
        }
        await trial.advance(120);
        expect(excess(steps, limit)).toBeLessThanOrEqual(0);
      } finally {
        fleet.end();
      }
    },
  );
  await fc.assert(property, { seed: options.seed, numRuns: 60 });
}

describe("the retries of a fleet", () => {
  for (const { name, seed, slack } of CASES) {
    // Guards against parts of the limit that are given out twice by a start, an
    // end, a cut or a recount.
    it(
      `stay within the limit in any window (slack ${slack}, ${name})`,
      {
        timeout: 120_000,
      },
      () =>
        expectLimitToHold({
          events: INSTANCE_EVENTS,
          loadGrows: true,
          slack,
          seed,
        }),
    );

    // Guards against claims on the margin of the limit that add up, and against
    // retries that two instances get for the same requests.
    it(
      `stay within it, whatever happens to traffic (slack ${slack}, ${name})`,
      {
        timeout: 120_000,
      },
      () =>
        expectLimitToHold({ events: EVENTS, loadGrows: false, slack, seed }),
    );
  }

  // Guards against retries for the requests of a window that are used up by the
  // processes before a restart, and again by those after it.
  it("stay within the limit when all restart as servers begin to fail", async () => {
    const limit = { ...LIMIT, slack: 30 };
    const trial = createTrial(limit, null);
    await Promise.all(NAMES.slice(0, 4).map(trial.fleet.start));
    trial.apply({ ...ANY, kind: "servers_recover" });
    await trial.advance(80);
    trial.apply({ ...ANY, kind: "servers_fail" });
    await trial.advance(8);
    trial.apply({ ...ANY, kind: "restart_all" });
    await trial.advance(80);
    trial.fleet.end();
    expect(excess(trial.steps, limit)).toBeLessThanOrEqual(0);
  });
});

describe("the retries of one instance that restarts", () => {
  // Guards against an instance that joins and takes itself for one of a fleet
  // that starts, since the only other entry is that of a process that restarted.
  it("stay within the limit when another joins that it can't see", async () => {
    const trial = createTrial(LIMIT, 1);
    await trial.fleet.start("i-1");
    await trial.advance(60);
    trial.apply({ name: "i-1", kind: "restart" });
    await trial.advance(1);
    trial.apply({ name: "i-1", kind: "stalled" });
    trial.apply({ name: "i-5", kind: "start" });
    await trial.advance(120);
    trial.fleet.end();
    expect(excess(trial.steps)).toBeLessThanOrEqual(0);
  });
});

describe("the retries of four instances that had none for a while", () => {
  for (const { name, slack, play } of SCENARIOS) {
    it(`stay within the limit ${name}`, async () => {
      const limit = { ...LIMIT, slack };
      const trial = createTrial(limit, 4);
      await Promise.all(NAMES.slice(0, 4).map(trial.fleet.start));
      trial.apply({ ...ANY, kind: "servers_recover" });
      await trial.advance(200);
      await play(trial);
      await trial.advance(120);
      trial.fleet.end();
      expect(excess(trial.steps, limit)).toBeLessThanOrEqual(0);
    });
  }
});

describe("the retries of a steady fleet", () => {
  // Guards against a limit that holds since little is allowed: a fleet without
  // changes has to get the usable part of it, also while lists are always some
  // seconds old, as a store may answer them.
  it.each([
    { kind: "heal_all", stepsBefore: 80 },
    { kind: "store_lags", stepsBefore: 160 },
  ] as const)(
    "are as many as the usable part of the limit ($kind)",
    async ({ kind, stepsBefore }) => {
      const trial = createTrial(LIMIT, 4);
      await Promise.all(NAMES.slice(0, 4).map(trial.fleet.start));
      trial.apply({ ...ANY, kind });
      await trial.advance(stepsBefore);
      await trial.advance(400);
      trial.fleet.end();
      const steps = trial.steps.slice(stepsBefore);
      const retries = steps.reduce((sum, step) => sum + step.retries, 0);
      const windows = (steps.length * STEP_MS) / LIMIT.windowMs;
      expect(retries / windows).toBeGreaterThan(0.65 * (200 + 0.2 * 640));
    },
  );
});
