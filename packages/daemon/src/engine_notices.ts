/** Tells other instances that an engine is to be read again. */
import type { Membership, PeerCaller } from "@rosemarypin/membership";
import { nameSchema } from "@rosemarypin/schemas";
import { z } from "zod";

/** Changes that come together, as after a note, go out together. */
const COLLECT_MS = 100;

/** Method of the notice between instances. */
export const ENGINES_CHANGED = "engines.changed";

const noticeSchema = z.object({ engines: z.array(nameSchema).max(1_000) });

/** The engines that a notice names. */
export function readEngineNotice(params: unknown): readonly string[] {
  return noticeSchema.parse(params).engines;
}

/** Creates the sender; it may be called for each change. */
export function createEngineNotices(options: {
  readonly membership: Membership;
  readonly peers: PeerCaller;
}): (engine: string) => void {
  const { membership, peers } = options;
  const changed = new Set<string>();

  function send(): void {
    const params = { engines: [...changed] };
    changed.clear();
    for (const { record, state } of membership.peers()) {
      if (state !== "alive") continue;
      // A lost notice is made up for by the fallback reads.
      void peers.call(record.peer, ENGINES_CHANGED, { params });
    }
  }

  return (engine) => {
    if (changed.size === 0) setTimeout(send, COLLECT_MS);
    changed.add(engine);
  };
}
