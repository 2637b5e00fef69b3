/** Hands unrecorded call results over to other instances at a planned stop. */
import type { ResultRecorder, SendResult } from "@rosemarypin/calls";
import type { Membership, PeerCaller } from "@rosemarypin/membership";
import {
  type ClaimResultRecord,
  claimResultRecordSchema,
} from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";

const METHOD = "claim.adopt";
/** A healthy store has recorded the last results within this time. */
const RECORDING_TIMEOUT_MS = 2_000;
const RETRY_DELAY_MS = 1_000;

const log = createLogger("claims");

export interface ResultHandOverOptions {
  readonly recorder: ResultRecorder;
  readonly membership: Pick<Membership, "peers">;
  readonly peers: PeerCaller;
}

/**
 * Records the pending results of this instance's calls, or hands them over to
 * other instances. Resolves to whether none is left after `withinMs`.
 *
 * Without the hand-over, a planned stop during a store outage would use its
 * whole grace period, exit as if work had been cut off, and lose the results:
 * callers that retry would get `outcome_unknown` for calls that were answered.
 * The other instance keeps the results until the store recovers.
 */
export async function finishRecording(
  options: ResultHandOverOptions & { readonly withinMs: number },
): Promise<boolean> {
  const { recorder, withinMs } = options;
  const deadline = performance.now() + withinMs;
  await recorder.finish(Math.min(RECORDING_TIMEOUT_MS, withinMs));
  while (recorder.count() > 0 && performance.now() < deadline) {
    const before = recorder.count();
    const left = await recorder.handOver((result) =>
      sendToPeer(result, options),
    );
    log.info("ends_handed_over", { given: before - left, left });
    if (left > 0) await recorder.finish(RETRY_DELAY_MS);
  }
  if (recorder.count() > 0) log.warn("ends_lost", { count: recorder.count() });
  return recorder.count() === 0;
}

/** Offers a result to the instances that keep running, one at a time. */
async function sendToPeer(
  result: ClaimResultRecord,
  { membership, peers }: ResultHandOverOptions,
): ReturnType<SendResult> {
  const remaining = membership
    .peers()
    .filter(
      ({ state, record }) => state === "alive" && !record.shared.draining,
    );
  for (const { record } of remaining) {
    const reply = await peers.call(record.peer, METHOD, { params: result });
    if (reply.kind === "ok" && reply.value === true) return true;
  }
  return false;
}

/** RPC method by which peers hand their results over to this instance. */
export function resultHandOverMethods(recorder: ResultRecorder) {
  return {
    [METHOD]: (params: unknown) =>
      recorder.adopt(claimResultRecordSchema.parse(params)),
  };
}
