/** Failure detector: probes members and reports suspected and dead ones. */
import type { Address, MemberNews } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import { pause } from "@rosemarypin/timing";
import type { Acknowledgements } from "./acknowledgements.ts";
import { hasEnded, type MemberTable, type Reach } from "./member_table.ts";
import { createProbeOrder, type Random, sample } from "./probe_order.ts";
import type { DatagramBody } from "./wire.ts";

/** Time for a direct answer before helpers are asked to probe. */
const DIRECT_TIMEOUT_MS = 350;
/** Time for an answer through helpers; a late direct one counts as well. */
const INDIRECT_TIMEOUT_MS = 550;
/** Instances that are asked to probe on behalf of this one. */
const MAX_HELPERS = 3;
/** Time that a suspected member has to refute the suspicion. */
const SUSPICION_TIMEOUT_MS = 4_000;
/** Delay of a probe beyond which this process must have been paused. */
const MAX_LATENESS_MS = 700;
/** Steps per probe of a member in another domain. */
const STEPS_PER_REMOTE_PROBE = 2;
/** Steps per ping of a join candidate: a seed, a hint or a dead member. */
const STEPS_PER_JOIN_PING = 5;
/** Steps after the start in which more join candidates are pinged. */
const INITIAL_STEPS = 8;
const JOIN_PINGS_PER_INITIAL_STEP = 2;
/** Fleets below this size probe more often, as their traffic is low. */
const SMALL_FLEET_SIZE = 8;
const SMALL_FLEET_STEP_MS = 500;
const STEP_MS = 1_000;

const log = createLogger("membership");

export interface ProberOptions {
  readonly self: { readonly id: string; readonly failureDomain: string };
  readonly table: MemberTable;
  readonly acknowledgements: Acknowledgements;
  readonly random: Random;
  readonly send: (body: DatagramBody, target: Address) => void;
  /** Called when this instance suspects a member or declares it dead. */
  readonly onVerdict: (news: MemberNews) => void;
  /** Addresses to ping in order to join or rejoin other instances. */
  readonly joinCandidates: () => readonly Address[];
  readonly signal: AbortSignal;
}

/** Starts to probe until `signal` aborts. */
export function startProber(options: ProberOptions): void {
  const { self, table, acknowledgements, random, send, signal } = options;
  const localOrder = createProbeOrder({
    candidates: () => activeIds(true),
    random,
  });
  const remoteOrder = createProbeOrder({
    candidates: () => activeIds(false),
    random,
  });
  void run();

  async function run(): Promise<void> {
    for (let step = 0; !signal.aborted; step++) {
      if (step < INITIAL_STEPS) pingJoinCandidates(JOIN_PINGS_PER_INITIAL_STEP);
      else if (step % STEPS_PER_JOIN_PING === 0) pingJoinCandidates(1);
      probeNext(step);
      declareDead();
      table.dropExpired();
      await waitForNextStep();
    }
  }

  function waitForNextStep(): Promise<void> {
    const isSmallFleet = table.size() < SMALL_FLEET_SIZE;
    return pause(isSmallFleet ? SMALL_FLEET_STEP_MS : STEP_MS, signal);
  }

  function activeIds(inOwnDomain: boolean): string[] {
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
    const localId = localOrder.next();
    if (localId) void probe(localId);
    if (localId && step % STEPS_PER_REMOTE_PROBE !== 0) return;
    const remoteId = remoteOrder.next();
    if (remoteId) void probe(remoteId);
  }

  async function probe(id: string): Promise<void> {
    const target = table.news(id);
    if (!target) return;
    const sequence = acknowledgements.nextSequence();
    const startedAt = performance.now();
    send({ method: "ping", sequence }, target.record.peer);
    const timeoutMs = DIRECT_TIMEOUT_MS;
    let answer = await acknowledgements.wait(sequence, { id, timeoutMs });
    if (answer === null && !signal.aborted) {
      answer = await probeThroughOthers(target, sequence);
    }
    if (signal.aborted || wasPausedSince(startedAt)) return;
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
   * Chooses helpers from different domains. During a partition between two
   * domains, helpers in this domain fail as this instance does, while those in
   * a third domain may reach both sides.
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
    const targetDomainHelper = byDomain.get(failureDomain);
    byDomain.delete(failureDomain);
    const ownDomainHelper = byDomain.get(self.failureDomain);
    byDomain.delete(self.failureDomain);
    const thirdDomainHelpers = sample([...byDomain.values()], MAX_HELPERS - 1, {
      random,
    });
    const chosen = [
      ...thirdDomainHelpers,
      targetDomainHelper,
      ownDomainHelper,
    ].filter((news) => news !== undefined);
    return chosen.slice(0, MAX_HELPERS).map(({ record }) => record.peer);
  }

  function setReach(id: string, reach: Reach): void {
    const previous = table.get(id)?.reach;
    table.setReach(id, reach);
    if (previous === reach || (previous === undefined && reach === "direct")) {
      return;
    }
    log.info("peer_reach", { peer: id, reach });
  }

  /** Reports a suspicion, unless newer news arrived during the probe. */
  function suspect(id: string, probed: MemberNews): void {
    const { record } = probed;
    const current = table.news(id);
    if (current?.status !== "alive") return;
    if (current.record.incarnation !== record.incarnation) return;
    options.onVerdict({ record: current.record, status: "suspect" });
  }

  function declareDead(): void {
    for (const { record } of table.overdueSuspects(SUSPICION_TIMEOUT_MS)) {
      options.onVerdict({ record, status: "dead" });
    }
  }

  /**
   * Pings seeds, hints and dead members. After a partition has healed, both
   * sides consider each other dead and would otherwise never rejoin.
   */
  function pingJoinCandidates(count: number): void {
    for (const address of sample(options.joinCandidates(), count, { random })) {
      send({ method: "ping", sequence: 0 }, address);
    }
  }
}

/**
 * Whether this process was paused during a probe. On resuming, timeouts fire
 * before the answers in the socket are read, so all members would be suspected.
 * The result of a probe that took much longer than planned is discarded.
 */
function wasPausedSince(startedAt: number): boolean {
  const elapsedMs = performance.now() - startedAt;
  const plannedMs = DIRECT_TIMEOUT_MS + INDIRECT_TIMEOUT_MS;
  return elapsedMs - plannedMs > MAX_LATENESS_MS;
}
