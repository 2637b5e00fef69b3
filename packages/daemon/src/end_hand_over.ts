/** Passes unrecorded ends of calls on to other instances at a planned stop. */
import type { ResultRecorder, SendResult } from "@rosemarypin/calls";
import type { Membership, PeerCaller } from "@rosemarypin/membership";
import { type ClaimEnd, claimEndSchema } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";

const METHOD = "claim.adopt";
/** A store that works has recorded the last ends by then. */
const FINISH_WITHIN_MS = 2_000;
const AGAIN_AFTER_MS = 1_000;

const log = createLogger("claims");

export interface EndHandOverOptions {
  readonly ends: ResultRecorder;
  readonly membership: Pick<Membership, "peers">;
  readonly peers: PeerCaller;
}

/**
 * Records the ends of this instance's calls, or finds others to do it.
 *
 * In an outage of the store a planned stop waited for its whole grace time
 * and ended as if work had been cut, and the ends were lost with the process:
 * callers that came again were told `outcome_unknown` for calls with a known
 * answer. Another instance keeps them now until the store is back.
 *
 * Resolves to whether every end is recorded or taken over within the time.
 */
export async function finishEnds(
  options: EndHandOverOptions & { readonly withinMs: number },
): Promise<boolean> {
  const { ends, withinMs } = options;
  const until = performance.now() + withinMs;
  await ends.finish(Math.min(FINISH_WITHIN_MS, withinMs));
  while (ends.count() > 0 && performance.now() < until) {
    const before = ends.count();
    const left = await ends.handOver((end) => giveToAnyone(end, options));
    log.info("ends_handed_over", { given: before - left, left });
    if (left > 0) await ends.finish(AGAIN_AFTER_MS);
  }
  if (ends.count() > 0) log.warn("ends_lost", { count: ends.count() });
  return ends.count() === 0;
}

/** Asks instances that stay, one after the other. */
async function giveToAnyone(
  end: ClaimEnd,
  { membership, peers }: EndHandOverOptions,
): ReturnType<SendResult> {
  const staying = membership
    .peers()
    .filter(
      ({ state, record }) => state === "alive" && !record.shared.draining,
    );
  for (const { record } of staying) {
    const result = await peers.call(record.peer, METHOD, { params: end });
    if (result.kind === "ok" && result.value === true) return true;
  }
  return false;
}

/** The peers' method that takes an end over. */
export function endHandOverMethods(ends: ResultRecorder) {
  return {
    [METHOD]: (params: unknown) => ends.adopt(claimEndSchema.parse(params)),
  };
}
