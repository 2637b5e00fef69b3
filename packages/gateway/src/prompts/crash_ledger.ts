/**
 * Decides which part of prompts ends engines, from the prompts that were only
 * begun when engines ended, and from prompts that were answered.
 */
import type { BegunAnswer, EngineEnd } from "./running_prompts.ts";

/** Ends under a part after which it is to blame. */
export const ENDS_UNTIL_BLAME = 3;
/** Ends under a part after which its requests aren't repeated. */
const ENDS_UNTIL_SUSPECT = 2;
/**
 * Ends after which parts are to blame that can't be told apart. There may be
 * more than one such part at a time.
 */
const ENDS_UNTIL_JOINT_BLAME = 5;
/**
 * Ends within this time have one cause: a rack or a link between engines fails
 * for all of them at once, and a request of each may have the same part.
 */
const SAME_CAUSE_MS = 300;
/** How long an end counts. */
const END_TTL_MS = 300_000;
const MAX_ENDS = 64;
/** Different prompts that are kept of one end. */
const MAX_PROMPTS_OF_END = 256;
/** Parts of which the ledger knows when they were last answered. */
const MAX_ANSWERED_PARTS = 4_096;

/** A part of prompts of one service. */
export interface PromptPart {
  readonly service: string;
  readonly part: string;
}

/** A part that ends engines. */
export interface BlamedPart extends PromptPart {
  /** Engines that have ended under it. */
  readonly engines: readonly string[];
  /** First of these ends, by the monotonic clock. */
  readonly firstEndAt: number;
}

export interface CrashLedger {
  /** Records an end; repeated records of the same end are merged. */
  recordEnd(end: EngineEnd): void;
  /** Records that an answer was written on a prompt with the parts. */
  recordAnswer(answer: BegunAnswer): void;
  /**
   * The parts that are to blame for ends that no part in quarantine explains;
   * empty while several remain that can't be told apart.
   */
  blame(service: string): BlamedPart[];
  /** Whether a prompt with the parts may have ended more than one engine. */
  isSuspect(service: string, parts: readonly string[]): boolean;
  /** When a prompt with the part last began to be answered; or `-Infinity`. */
  answeredAt(part: PromptPart): number;
}

/** A part and the ends that count against it, the earliest one first. */
interface Contender {
  readonly part: string;
  readonly ends: readonly EngineEnd[];
  /** The same, with those of the same cause counted as one. */
  readonly count: number;
}

/** Creates an empty ledger. */
export function createCrashLedger(options: {
  readonly isQuarantined: (part: PromptPart) => boolean;
}): CrashLedger {
  /** Ends by engine, in the order in which they became known. */
  const ends = new Map<string, EngineEnd>();
  /** Times by part, the one that was answered longest ago first. */
  const answered = new Map<string, number>();

  function answeredAt(part: PromptPart): number {
    return answered.get(keyOf(part)) ?? -Infinity;
  }

  function countingEnds(service: string): EngineEnd[] {
    const oldest = performance.now() - END_TTL_MS;
    for (const [engine, { at }] of ends) if (at < oldest) ends.delete(engine);
    return [...ends.values()]
      .filter((end) => end.service === service && !isExplained(end))
      .sort((a, b) => a.at - b.at);
  }

  function isExplained({ service, prompts }: EngineEnd): boolean {
    return prompts.some((parts) =>
      parts.some((part) => options.isQuarantined({ service, part })),
    );
  }

  /** Parts with at least `minCount` ends. */
  function contenders(service: string, minCount: number): Contender[] {
    const endsByPart = new Map<string, EngineEnd[]>();
    for (const end of countingEnds(service)) {
      for (const part of new Set(end.prompts.flat())) {
        // An answer that began later shows that the part didn't cause the end.
        if (answeredAt({ service, part }) > end.at) continue;
        const ofPart = endsByPart.get(part) ?? [];
        ofPart.push(end);
        endsByPart.set(part, ofPart);
      }
    }
    const all = [...endsByPart].map(([part, ends]) => ({
      part,
      ends,
      count: countCauses(ends),
    }));
    return all.filter(({ count }) => count >= minCount);
  }

  /** Of the parts with at least `minCount` ends, those to blame first. */
  function mostLikely(service: string, minCount: number): Contender[] {
    const all = contenders(service, minCount);
    const unanswered = all.filter(
      ({ part }) => answeredAt({ service, part }) === -Infinity,
    );
    const likely = unanswered.length > 0 ? unanswered : all;
    // What a more specific part explains isn't held against a general one.
    const independent = likely.filter(
      (general) =>
        !likely.some(
          (specific) =>
            specific !== general &&
            countCauses(endsWithout(specific, general)) < minCount,
        ),
    );
    const most = Math.max(...independent.map(({ count }) => count));
    return independent.filter(({ count }) => count === most);
  }

  return {
    recordEnd(end) {
      const known = ends.get(end.engine);
      if (known) {
        const prompts = withoutRepeats([...known.prompts, ...end.prompts]);
        const at = Math.min(known.at, end.at);
        ends.set(end.engine, { ...known, at, prompts });
        return;
      }
      ends.set(end.engine, { ...end, prompts: withoutRepeats(end.prompts) });
      const [oldest] = ends.keys();
      if (ends.size > MAX_ENDS && oldest !== undefined) ends.delete(oldest);
    },
    recordAnswer({ service, parts, begunAt }) {
      for (const part of parts) {
        const key = keyOf({ service, part });
        const last = answered.get(key) ?? -Infinity;
        answered.delete(key);
        answered.set(key, Math.max(last, begunAt));
      }
      while (answered.size > MAX_ANSWERED_PARTS) {
        const [oldest] = answered.keys();
        if (oldest !== undefined) answered.delete(oldest);
      }
    },
    blame(service) {
      const likely = mostLikely(service, ENDS_UNTIL_BLAME);
      const isJoint = likely.some(
        ({ count }) => count >= ENDS_UNTIL_JOINT_BLAME,
      );
      if (likely.length > 1 && !isJoint) return [];
      return likely.map(({ part, ends }) => ({
        service,
        part,
        engines: ends.map(({ engine }) => engine),
        firstEndAt: ends[0]?.at ?? performance.now(),
      }));
    },
    isSuspect(service, parts) {
      const suspects = mostLikely(service, ENDS_UNTIL_SUSPECT);
      return suspects.some(({ part }) => parts.includes(part));
    },
    answeredAt,
  };
}

function keyOf({ service, part }: PromptPart): string {
  return `${service} ${part}`;
}

/** Number of causes of ends, which are in order of time. */
function countCauses(ends: readonly EngineEnd[]): number {
  let count = 0;
  let lastAt = -Infinity;
  for (const { at } of ends) {
    if (at - lastAt < SAME_CAUSE_MS) continue;
    lastAt = at;
    count += 1;
  }
  return count;
}

/**
 * Ends under the general part without a prompt in which the specific one follows
 * it. Where it never does, these are all of them.
 */
function endsWithout(specific: Contender, general: Contender): EngineEnd[] {
  return general.ends.filter(
    ({ prompts }) =>
      !prompts.some((parts) => {
        const at = parts.indexOf(general.part);
        return at >= 0 && parts.indexOf(specific.part) > at;
      }),
  );
}

function withoutRepeats(
  prompts: readonly (readonly string[])[],
): (readonly string[])[] {
  const byText = new Map(prompts.map((parts) => [parts.join(), parts]));
  return [...byText.values()].slice(0, MAX_PROMPTS_OF_END);
}
