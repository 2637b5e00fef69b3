/**
 * A burst: for a second or two callers request streams of one class or of one
 * organisation as fast as answers end.
 */
import type { SeededRandom } from "../seeded_random.ts";
import { createSeededRandom, HIGHEST_SEED } from "../seeded_random.ts";
import type { SoakCall } from "./judges.ts";
import {
  drawRequest,
  ORGANISATIONS,
  type SoakRequest,
  STREAM_PRIORITIES,
} from "./soak_request.ts";
import { sleep } from "./timing.ts";

/** About twice the answers for which the engines have memory. */
const BURST_CALLERS = 24;
/** Every so many callers one ignores the retry delay. */
const HURRIED_EVERY = 3;
/** A caller that ignores the delay gives up after so many attempts. */
const MAX_HURRIED_ATTEMPTS = 8;
const MAX_ATTEMPTS = 2;

/** Sends a request to some instance; `null` if none can be called. */
export type SendRequest = (
  request: SoakRequest,
  attempt: {
    readonly id: string;
    readonly attempt: number;
    readonly deadlineMs: number;
  },
) => Promise<SoakCall | null>;

/** Runs a burst until its time, or that of the run, is over. */
export async function runBurst(
  name: string,
  random: SeededRandom,
  run: {
    readonly send: SendRequest;
    readonly isOver: () => boolean;
    readonly deadlineMs: number;
  },
): Promise<void> {
  const endsAt = performance.now() + random.between(1_000, 2_000);
  const only = random.pick<Partial<SoakRequest>>([
    ...STREAM_PRIORITIES.map((priority) => ({ priority })),
    ...ORGANISATIONS.map((organisation) => ({ organisation })),
  ] as [Partial<SoakRequest>, ...Partial<SoakRequest>[]]);
  const seeds = Array.from({ length: BURST_CALLERS }, () =>
    random.between(0, HIGHEST_SEED),
  );
  await Promise.all(
    seeds.map(async (seed, index) => {
      const callerRandom = createSeededRandom(seed);
      const isHurried = index % HURRIED_EVERY === 0;
      let count = 0;
      while (!run.isOver() && performance.now() < endsAt) {
        const request = drawRequest(callerRandom, { kind: "stream", ...only });
        await sendWithRetries(`${name}-${index}-${count}`, request, isHurried);
        count += 1;
      }
    }),
  );

  /** Retries refused requests with what is left of the deadline. */
  async function sendWithRetries(
    id: string,
    request: SoakRequest,
    isHurried: boolean,
  ): Promise<void> {
    const startedAt = performance.now();
    const maxAttempts = isHurried ? MAX_HURRIED_ATTEMPTS : MAX_ATTEMPTS;
    for (let attempt = 1; attempt <= maxAttempts; attempt += 1) {
      const elapsedMs = performance.now() - startedAt;
      const deadlineMs = Math.round(run.deadlineMs - elapsedMs);
      if (deadlineMs <= 0) return;
      const sent = await run.send(request, {
        id: `${id}.${attempt}`,
        attempt,
        deadlineMs,
      });
      // Nothing listens: the process of an instance starts.
      if (!sent || sent.answer.refused) return sleep(20);
      if (sent.answer.status !== 503) return;
      const delaySeconds = Number(sent.answer.headers["retry-after"] ?? 0);
      if (!isHurried) await sleep(delaySeconds * 1_000);
    }
  }
}
