/** Calls to other instances about prompts that end engines. */
import { createHash } from "node:crypto";
import type { PeerCaller } from "@rosemarypin/membership";
import type { Address } from "@rosemarypin/schemas";
import { pause } from "@rosemarypin/timing";
import type { LiveInstance } from "../following/mod.ts";
import {
  END_METHOD,
  MAX_PROMPTS,
  QUARANTINE_METHOD,
  type QuarantineObject,
  quarantineAnswerSchema,
  RELEASE_METHOD,
} from "./quarantine_messages.ts";
import type { EngineEnd } from "./running_prompts.ts";

/**
 * Instances that learn of the ends of a service's engines. Each of them decides
 * alone, so that the loss of one changes nothing.
 */
const DECIDING_INSTANCES = 3;
const CALL_TIMEOUT_MS = 500;
/** A call that got no answer is repeated once after this time. */
const REPEAT_AFTER_MS = 400;
/** Calls in progress at a time. */
const MAX_PARALLEL_CALLS = 32;

export interface QuarantinePeers {
  /** Reports an end to the instances that decide for its service. */
  reportEnd(end: EngineEnd): Promise<void>;
  /** Resolves to whether some instance has refuted the quarantine. */
  announce(
    quarantine: QuarantineObject,
    firstEndAgoMs: number,
  ): Promise<boolean>;
  release(part: {
    readonly service: string;
    readonly part: string;
  }): Promise<void>;
}

export interface QuarantinePeersOptions {
  readonly instance: string;
  readonly liveOthers: () => readonly Pick<LiveInstance, "instance" | "peer">[];
  readonly caller: PeerCaller;
  readonly signal: AbortSignal;
}

export function createQuarantinePeers({
  instance,
  liveOthers,
  caller,
  signal,
}: QuarantinePeersOptions): QuarantinePeers {
  function addressesOfAll(): Address[] {
    return liveOthers().flatMap(({ peer }) => peer ?? []);
  }

  /** Others among the instances that decide for a service. */
  function decidingOthers(service: string): Address[] {
    const all = [{ instance, peer: null }, ...liveOthers()];
    return all
      .map((one) => ({ ...one, rank: rankOf(one.instance, service) }))
      .sort((a, b) => b.rank - a.rank)
      .slice(0, DECIDING_INSTANCES)
      .flatMap(({ peer }) => peer ?? []);
  }

  async function call(
    address: Address,
    method: string,
    params: unknown,
  ): Promise<unknown> {
    const options = { params, timeoutMs: CALL_TIMEOUT_MS };
    const first = await caller.call(address, method, options);
    if (first.kind === "ok") return first.value;
    // An instance of the version before doesn't know the method.
    if (first.kind === "rejected") return null;
    await pause(REPEAT_AFTER_MS, signal);
    if (signal.aborted) return null;
    const second = await caller.call(address, method, options);
    return second.kind === "ok" ? second.value : null;
  }

  async function callAll(
    addresses: readonly Address[],
    method: string,
    params: unknown,
  ): Promise<unknown[]> {
    const remaining = [...addresses];
    const answers: unknown[] = [];
    const callNext = async (): Promise<void> => {
      for (let next = remaining.shift(); next; next = remaining.shift())
        answers.push(await call(next, method, params));
    };
    await Promise.all(Array.from({ length: MAX_PARALLEL_CALLS }, callNext));
    return answers;
  }

  return {
    async reportEnd({ service, engine, at, prompts }) {
      // Nothing is to blame for an end without such prompts.
      if (prompts.length === 0) return;
      const params = {
        service,
        engine,
        agoMs: performance.now() - at,
        prompts: prompts.slice(0, MAX_PROMPTS),
      };
      await callAll(decidingOthers(service), END_METHOD, params);
    },
    async announce(quarantine, firstEndAgoMs) {
      const params = { quarantine, firstEndAgoMs };
      const answers = await callAll(
        addressesOfAll(),
        QUARANTINE_METHOD,
        params,
      );
      return answers.some((answer) => {
        const parsed = quarantineAnswerSchema.safeParse(answer);
        return parsed.success && parsed.data.isRefuted;
      });
    },
    async release({ service, part }) {
      await callAll(addressesOfAll(), RELEASE_METHOD, { service, part });
    },
  };
}

/** Rank by rendezvous hashing: all instances agree on it without messages. */
function rankOf(instance: string, service: string): number {
  const text = `${instance}\n${service}`;
  return createHash("sha256").update(text).digest().readUInt32BE();
}
