/**
 * Parts of prompts that end engines. All instances refuse requests with such a
 * part, of which they learn from each other and from the store.
 */
import { createHash } from "node:crypto";
import type { PeerMethods } from "@rosemarypin/membership";
import type { ObjectStore, StoredObject } from "@rosemarypin/store";
import { createLogger } from "@rosemarypin/telemetry";
import { z } from "zod";
import {
  createOccasionalWarning,
  type FollowedPrefix,
} from "../following/mod.ts";
import {
  type BlamedPart,
  type CrashLedger,
  createCrashLedger,
  type PromptPart,
} from "./crash_ledger.ts";
import {
  boundedEngines,
  END_METHOD,
  endMessageSchema,
  QUARANTINE_METHOD,
  type QuarantineObject,
  quarantineMessageSchema,
  quarantineObjectSchema,
  RELEASE_METHOD,
  releaseMessageSchema,
} from "./quarantine_messages.ts";
import type { QuarantinePeers } from "./quarantine_peers.ts";
import type { EngineEnd } from "./running_prompts.ts";
import type { SharedPrompt } from "./shared_prompt.ts";

/** Reason of refusals of requests with a part in quarantine. */
export const PROMPT_QUARANTINED = "prompt_quarantined";
const QUARANTINE_PREFIX = "rosemarypin-quarantine/";
/**
 * Time until one request is sent, to find out whether the part still ends
 * engines.
 */
const FIRST_TRIAL_DELAY_MS = 120_000;
/**
 * The same after each trial. After the last one an operator has to end the
 * quarantine: each further one might cost an engine.
 */
const LATER_TRIAL_DELAYS_MS = [600_000];
/**
 * Time until the first trial of one of several parts that were put into
 * quarantine together; the others follow at the same interval. Each is then
 * tried alone, so that the sound ones among them are found at once.
 */
const JOINT_TRIAL_INTERVAL_MS = 1_500;
/** Delay for a caller while a trial is due that isn't this caller's. */
const TRIAL_IN_PROGRESS_SECONDS = 5;
/** The part whose requests have not come for the longest time is dropped. */
const MAX_PARTS = 256;
/**
 * Time in which the instance that has found a part stores it. Others do so
 * after it, at a random moment.
 */
const STORE_DELAY_MS = 5_000;

const log = createLogger("prompts");
const warnUnreadable = createOccasionalWarning(log, "quarantine_unreadable");

/** Why a quarantine ended. */
type ReleaseReason =
  /** A prompt with the part was answered. */
  | "answered"
  | "operator"
  /** Another instance or the store says so. */
  | "released_elsewhere"
  | "table_full";

export type QuarantineDecision =
  | { readonly kind: "accepted" }
  /** One request may find out whether the part still ends engines. */
  | { readonly kind: "trial_due"; readonly retryAfterSeconds: number }
  | {
      readonly kind: "refused";
      /** `null` if the caller should not return. */
      readonly retryAfterSeconds: number | null;
    };

export interface PromptQuarantine {
  readonly prefix: FollowedPrefix;
  readonly methods: PeerMethods;
  /** Decides whether a request may be sent to engines. */
  decide(prompt: SharedPrompt): QuarantineDecision;
  /** Resolves to whether a request may be sent for the trial that is due. */
  takeTrial(prompt: SharedPrompt): Promise<boolean>;
  /** Whether a request under which an engine has ended may be sent again. */
  mayRepeat(prompt: SharedPrompt): boolean;
  recordEnd(end: EngineEnd): void;
  recordAnswer: CrashLedger["recordAnswer"];
  /** The parts in quarantine. */
  parts(): readonly QuarantineObject[];
  /** Ends the quarantine of a part; `false` if it isn't in quarantine. */
  release(part: PromptPart): boolean;
  /** Registers a callback for parts that are put into quarantine. */
  onQuarantined(callback: (part: PromptPart) => void): void;
}

export interface PromptQuarantineOptions {
  readonly store: Pick<ObjectStore, "write" | "remove">;
  readonly peers: QuarantinePeers;
  readonly signal: AbortSignal;
}

interface Entry {
  readonly storeKey: string;
  object: QuarantineObject;
  /** Version of the stored object; `null` while it isn't known. */
  version: number | null;
  /** First end under the part that is known here, by the monotonic clock. */
  readonly firstEndAt: number;
  refusedAt: number;
}

/** Creates an empty quarantine. */
export function createPromptQuarantine({
  store,
  peers,
  signal,
}: PromptQuarantineOptions): PromptQuarantine {
  /** Entries by service and part. */
  const entries = new Map<string, Entry>();
  const callbacks: ((part: PromptPart) => void)[] = [];
  const ledger = createCrashLedger({
    isQuarantined: (part) => entries.has(keyOf(part)),
  });

  function entriesOf({ service, parts }: SharedPrompt): Entry[] {
    if (entries.size === 0) return [];
    return parts.flatMap((part) => entries.get(keyOf({ service, part })) ?? []);
  }

  function blameParts(service: string): void {
    const blamed = ledger.blame(service);
    for (const [index, part] of blamed.entries()) {
      const trialDelayMs =
        blamed.length > 1
          ? JOINT_TRIAL_INTERVAL_MS * (index + 1)
          : FIRST_TRIAL_DELAY_MS;
      void putIntoQuarantine(part, trialDelayMs);
    }
  }

  async function putIntoQuarantine(
    blamed: BlamedPart,
    trialDelayMs: number,
  ): Promise<void> {
    const { service, part, engines, firstEndAt } = blamed;
    const since = Date.now();
    const object: QuarantineObject = {
      service,
      part,
      engines: boundedEngines(engines),
      since,
      trials: 0,
      nextTrialAt: since + trialDelayMs,
    };
    enforce(object, { version: null, firstEndAt });
    void storeObject(object);
    const agoMs = performance.now() - firstEndAt;
    const isRefuted = await peers.announce(object, agoMs);
    if (isRefuted) release(blamed, "answered");
  }

  function enforce(
    object: QuarantineObject,
    known: Pick<Entry, "version" | "firstEndAt">,
  ): void {
    const key = keyOf(object);
    const existing = entries.get(key);
    if (existing) {
      if (known.version === null) return;
      existing.object = object;
      existing.version = known.version;
      return;
    }
    const storeKey = storeKeyOf(object);
    const refusedAt = performance.now();
    entries.set(key, { storeKey, object, ...known, refusedAt });
    dropOldest();
    const { service, part, engines, trials, nextTrialAt } = object;
    log.warn("prompt_part_quarantined", {
      service,
      part,
      engines: engines.join(","),
      trials,
      next_trial_s:
        nextTrialAt === null ? undefined : secondsUntil(nextTrialAt),
    });
    for (const callback of callbacks) callback({ service, part });
    if (known.version === null) storeLater(key);
  }

  function dropOldest(): void {
    if (entries.size <= MAX_PARTS) return;
    const [oldest] = [...entries.values()].sort(
      (a, b) => a.refusedAt - b.refusedAt,
    );
    if (oldest) forget(oldest.object, "table_full");
  }

  /** Stores an entry of another instance that has failed to do so. */
  function storeLater(key: string): void {
    const delayMs = STORE_DELAY_MS * (1 + Math.random());
    const timer = setTimeout(async () => {
      const entry = entries.get(key);
      if (!entry || entry.version !== null || signal.aborted) return;
      await storeObject(entry.object);
      storeLater(key);
    }, delayMs);
    timer.unref();
  }

  async function storeObject(object: QuarantineObject): Promise<void> {
    const key = storeKeyOf(object);
    const result = await store.write(key, object, { expectedVersion: null });
    const version =
      result.kind === "ok"
        ? result.value
        : result.kind === "conflict"
          ? (result.actual?.version ?? null)
          : null;
    if (version === null) return;
    const entry = entries.get(keyOf(object));
    // It may have been released while it was being written.
    if (!entry) await store.remove(key, { expectedVersion: version });
    else entry.version ??= version;
  }

  function forget(part: PromptPart, reason: ReleaseReason): Entry | null {
    const key = keyOf(part);
    const entry = entries.get(key);
    if (!entry) return null;
    entries.delete(key);
    // Ends before the release don't count any more.
    ledger.recordAnswer({
      service: part.service,
      parts: [part.part],
      begunAt: performance.now(),
    });
    const { service, since } = entry.object;
    log.info("prompt_part_released", {
      service,
      part: part.part,
      reason,
      after_s: ((Date.now() - since) / 1_000).toFixed(0),
    });
    return entry;
  }

  function release(part: PromptPart, reason: ReleaseReason): boolean {
    const entry = forget(part, reason);
    if (!entry) return false;
    void peers.release(part);
    const { version, storeKey } = entry;
    if (version !== null)
      void store.remove(storeKey, { expectedVersion: version });
    return true;
  }

  function decide(prompt: SharedPrompt): QuarantineDecision {
    const matching = entriesOf(prompt);
    if (matching.length === 0) return { kind: "accepted" };
    for (const entry of matching) entry.refusedAt = performance.now();
    const delays = matching.map(({ object }) => secondsUntilTrial(object));
    const longestSeconds = Math.max(...delays);
    if (longestSeconds === Number.POSITIVE_INFINITY)
      return { kind: "refused", retryAfterSeconds: null };
    const isTrialDue = longestSeconds === 0 && matching.length === 1;
    return {
      kind: isTrialDue ? "trial_due" : "refused",
      retryAfterSeconds: Math.max(TRIAL_IN_PROGRESS_SECONDS, longestSeconds),
    };
  }

  async function takeTrial(prompt: SharedPrompt): Promise<boolean> {
    const [entry] = entriesOf(prompt);
    if (!entry || entry.version === null) return false;
    const { object, version, storeKey } = entry;
    const trials = object.trials + 1;
    const delayMs = LATER_TRIAL_DELAYS_MS[object.trials];
    const next: QuarantineObject = {
      ...object,
      trials,
      nextTrialAt: delayMs === undefined ? null : Date.now() + delayMs,
    };
    // Of all instances, only one can write this version.
    const result = await store.write(storeKey, next, {
      expectedVersion: version,
    });
    if (result.kind !== "ok") return false;
    entry.object = next;
    entry.version = result.value;
    const { service, part } = object;
    log.info("prompt_part_tried", { service, part, trials });
    return true;
  }

  function receiveObject({ key, value, version }: StoredObject): void {
    const parsed = quarantineObjectSchema.safeParse(value);
    if (!parsed.success || storeKeyOf(parsed.data) !== key) {
      const reason = parsed.success ? "key" : z.prettifyError(parsed.error);
      return warnUnreadable({ reason });
    }
    enforce(parsed.data, { version, firstEndAt: performance.now() });
  }

  return {
    prefix: {
      prefix: QUARANTINE_PREFIX,
      onObject: receiveObject,
      onRemoved(key) {
        const entry = [...entries.values()].find(
          ({ storeKey }) => storeKey === key,
        );
        if (entry) forget(entry.object, "released_elsewhere");
      },
    },
    methods: {
      [END_METHOD](params) {
        const { agoMs, ...end } = endMessageSchema.parse(params);
        ledger.recordEnd({ ...end, at: performance.now() - agoMs });
        blameParts(end.service);
        return null;
      },
      [QUARANTINE_METHOD](params) {
        const { quarantine, firstEndAgoMs } =
          quarantineMessageSchema.parse(params);
        const firstEndAt = performance.now() - firstEndAgoMs;
        const isRefuted = ledger.answeredAt(quarantine) > firstEndAt;
        if (!isRefuted) enforce(quarantine, { version: null, firstEndAt });
        return { isRefuted };
      },
      [RELEASE_METHOD](params) {
        forget(releaseMessageSchema.parse(params), "released_elsewhere");
        return null;
      },
    },
    decide,
    takeTrial,
    mayRepeat: ({ service, parts }) =>
      entriesOf({ service, parts }).length === 0 &&
      !ledger.isSuspect(service, parts),
    recordEnd(end) {
      ledger.recordEnd(end);
      void peers.reportEnd(end);
      blameParts(end.service);
    },
    recordAnswer(answer) {
      ledger.recordAnswer(answer);
      const { service, parts, begunAt } = answer;
      for (const { object, firstEndAt } of entriesOf({ service, parts }))
        if (begunAt > firstEndAt) release(object, "answered");
    },
    parts: () => [...entries.values()].map(({ object }) => object),
    release: (part) => release(part, "operator"),
    onQuarantined(callback) {
      callbacks.push(callback);
    },
  };
}

/** Seconds until a trial is due; `Infinity` if no further one is. */
function secondsUntilTrial({ nextTrialAt }: QuarantineObject): number {
  return nextTrialAt === null
    ? Number.POSITIVE_INFINITY
    : secondsUntil(nextTrialAt);
}

function secondsUntil(unixMs: number): number {
  return Math.ceil(Math.max(0, unixMs - Date.now()) / 1_000);
}

function keyOf({ service, part }: PromptPart): string {
  return `${service}\n${part}`;
}

/** Parts are chosen by callers, so a key holds only their hash. */
function storeKeyOf(part: PromptPart): string {
  const hash = createHash("sha256").update(keyOf(part));
  return `${QUARANTINE_PREFIX}${hash.digest("hex").slice(0, 32)}`;
}
