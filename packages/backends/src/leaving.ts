/** Whether a server is leaving, from words that may disagree. */
import type { InstanceList, ServiceServer } from "@rosemarypin/schemas";

/** The server's own word holds this long. */
const OWN_WORD_MS = 3_000;
/** A server that once said it was leaving, and says nothing since. */
const LEAVING_WORD_MS = 60_000;

/** What is known of servers that leave. */
export interface LeavingServers {
  isLeaving(server: ServiceServer): boolean;
  /** The server's own word, from an answer, a refusal or its health path. */
  takeOwnWord(server: string, leaving: boolean): void;
  /** The platform's list, which lags and errs; `null` when there is none. */
  takeList(list: InstanceList | null): void;
}

/**
 * Creates the knowledge of one instance.
 *
 * The platform's list can name a leaving server live for many seconds, or a
 * live one leaving for good, or neither. So whoever is nearest to the server
 * decides: the operators' settings first; then the server's own word while
 * it is fresh; the list only where the server says nothing. A server that
 * said it was leaving and fell silent stays out for a minute, since to ask
 * it would be new work.
 */
export function createLeavingServers(): LeavingServers {
  const words = new Map<string, { leaving: boolean; at: number }>();
  let listed = new Set<string>();

  function ownWord(server: string): boolean | null {
    const word = words.get(server);
    if (!word) return null;
    const lastsMs = word.leaving ? LEAVING_WORD_MS : OWN_WORD_MS;
    return performance.now() - word.at < lastsMs ? word.leaving : null;
  }

  return {
    isLeaving({ id, leaving }) {
      if (leaving) return true;
      return ownWord(id) ?? listed.has(id);
    },
    takeOwnWord(server, leaving) {
      words.set(server, { leaving, at: performance.now() });
    },
    takeList(list) {
      if (!list) return;
      const leaving = list.instances.filter(({ state }) => state === "leaving");
      listed = new Set(leaving.map(({ id }) => id));
    },
  };
}
