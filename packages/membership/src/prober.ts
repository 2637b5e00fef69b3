/** Probes other instances and judges which of them have gone silent. */
import type { Address, MemberNews } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import { pause } from "@rosemarypin/timing";
import type { Acknowledgements } from "./acknowledgements.ts";
import { hasEnded, type MemberTable, type Reach } from "./member_table.ts";
import { createProbeOrder, type Random, sample } from "./probe_order.ts";
import type { DatagramBody } from "./wire.ts";

/** Time for an answer before others are asked to try. */
const DIRECT_TIMEOUT_MS = 350;
/** Time for an answer by way of others; a late direct one counts as well. */
const INDIRECT_TIMEOUT_MS = 550;
/** Instances asked to try in this one's place. */
const HELPERS = 3;
/** How long a suspect has to show that it lives. */
const SUSPICION_MS = 4_000;
/** A probe this late means that this process itself stood still. */
const LARGEST_LATENESS_MS = 700;
/** Probes of other domains are fewer: one in so many steps. */
const FAR_EVERY = 2;
/** Seeds, hints and the dead are tried once in so many steps. */
const STRANGER_EVERY = 5;
/** A new instance tries some in each of its first steps. */
const FIRST_STEPS = 8;
const FIRST_STRANGERS = 2;
/** Fleets up to this size can afford to probe more often. */
const SMALL_FLEET = 8;
const SMALL_FLEET_STEP_MS = 500;
const STEP_MS = 1_000;

const log = createLogger("membership");

export interface ProberOptions {
  readonly self: { readonly id: string; readonly failureDomain: string };
  readonly table: MemberTable;
  readonly acknowledgements: Acknowledgements;
  readonly random: Random;
  readonly send: (body: DatagramBody, target: Address) => void;
  /** Takes in a judgement of this instance's own. */
  readonly judge: (news: MemberNews) => void;
  /** Addresses at which an instance may or may not be. */
  readonly strangers: () => readonly Address[];
  readonly signal: AbortSignal;
}

/** Starts to probe, until the signal ends it. */
export function startProber(options: ProberOptions): void {
  const { self, table, acknowledgements, random, send, signal } = options;
  const near = createProbeOrder({ candidates: () => living(true), random });
  const far = createProbeOrder({ candidates: () => living(false), random });
  void run();

  async function run(): Promise<void> {
    for (let step = 0; !signal.aborted; step++) {
      if (step < FIRST_STEPS) greetStrangers(FIRST_STRANGERS);
      else if (step % STRANGER_EVERY === 0) greetStrangers(1);
      probeNext(step);
      declareDead();
      table.forget();
      await sleepOneStep();
    }
  }

  function sleepOneStep(): Promise<void> {
    const small = table.size() < SMALL_FLEET;
    return pause(small ? SMALL_FLEET_STEP_MS : STEP_MS, signal);
  }

  function living(inOwnDomain: boolean): string[] {
    return table
      .allNews()
      .filter(({ status }) => !hasEnded(status))
      .map(({ record }) => record)
      .filter(
        ({ failureDomain }) =>
          (failureDomain === self.failureDomain) === inOwnDomain,
      )
      .map(({ id }) => id);
  }

  function probeNext(step: number): void {
    const nearId = near.next();
    if (nearId) void probe(nearId);
    if (nearId && step % FAR_EVERY !== 0) return;
    const farId = far.next();
    if (farId) void probe(farId);
  }

  async function probe(id: string): Promise<void> {
    const target = table.news(id);
    if (!target) return;
    const sequence = acknowledgements.next();
    const startedAt = performance.now();
    send({ method: "ping", sequence }, target.record.peer);
    const timeoutMs = DIRECT_TIMEOUT_MS;
    let answer = await acknowledgements.wait(sequence, { id, timeoutMs });
    if (answer === null && !signal.aborted) {
      answer = await probeThroughOthers(target, sequence);
    }
    if (signal.aborted || stoodStillSince(startedAt)) return;
    setReach(id, answer ?? "none");
    if (answer === null) suspect(id, target);
  }

  function probeThroughOthers(target: MemberNews, sequence: number) {
    const { id, peer } = target.record;
    for (const helper of helpersFor(target)) {
      send({ method: "ping_request", sequence, target: peer }, helper);
    }
    const timeoutMs = INDIRECT_TIMEOUT_MS;
    return acknowledgements.wait(sequence, { id, timeoutMs });
  }

  /**
   * When the link between two domains is cut, helpers in this domain fail as
   * this instance does. One helper from each of several domains finds the way
   * round the cut, if any domain still sees both.
   */
  function helpersFor(target: MemberNews): Address[] {
    const { id, failureDomain } = target.record;
    const others = table
      .allNews()
      .filter(({ record, status }) => status === "alive" && record.id !== id);
    const byDomain = new Map<string, MemberNews>();
    for (const news of sample(others, others.length, { random })) {
      byDomain.set(news.record.failureDomain, news);
    }
    const ofTarget = byDomain.get(failureDomain);
    byDomain.delete(failureDomain);
    const ofOwn = byDomain.get(self.failureDomain);
    byDomain.delete(self.failureDomain);
    const thirds = sample([...byDomain.values()], HELPERS - 1, { random });
    const chosen = [...thirds, ofTarget, ofOwn].filter(
      (news) => news !== undefined,
    );
    return chosen.slice(0, HELPERS).map(({ record }) => record.peer);
  }

  function setReach(id: string, reach: Reach): void {
    const before = table.get(id)?.reach;
    table.setReach(id, reach);
    if (before === reach || (before === undefined && reach === "direct")) {
      return;
    }
    log.info("peer_reach", { peer: id, reach });
  }

  /** News that came while the probe waited outweighs its failure. */
  function suspect(id: string, probed: MemberNews): void {
    const { record } = probed;
    const now = table.news(id);
    if (now?.status !== "alive") return;
    if (now.record.incarnation !== record.incarnation) return;
    options.judge({ record: now.record, status: "suspect" });
  }

  function declareDead(): void {
    for (const { record } of table.overdueSuspects(SUSPICION_MS)) {
      options.judge({ record, status: "dead" });
    }
  }

  /**
   * Two sides of a healed cut hold each other for dead and would never speak
   * again; a ping now and then to the dead, to seeds and to hints ends that.
   */
  function greetStrangers(count: number): void {
    for (const address of sample(options.strangers(), count, { random })) {
      send({ method: "ping", sequence: 0 }, address);
    }
  }
}

/**
 * A process that was frozen finds all its timers due at once, while the
 * answers still wait in the socket: everyone would seem dead. What a probe
 * says that took much longer than planned counts for nothing.
 */
function stoodStillSince(startedAt: number): boolean {
  const elapsedMs = performance.now() - startedAt;
  const plannedMs = DIRECT_TIMEOUT_MS + INDIRECT_TIMEOUT_MS;
  return elapsedMs - plannedMs > LARGEST_LATENESS_MS;
}
