/** Notices streams that stand still, and asks their first engine why. */
import { createLogger } from "@rosemarypin/telemetry";
import type { BackendFleet } from "./backend_fleet.ts";
import type { BackendServer } from "./backend_server.ts";
import type { EngineCalls } from "./protocol.ts";

/** Bound on a report; engines in reach answer in a few milliseconds. */
const REPORT_TIMEOUT_MS = 300;
/** Streams of one engine that ask within this time share one report. */
const SHARED_FOR_MS = 150;

const log = createLogger("streams");

/** Why a stream stands still. */
export type StallVerdict =
  /** The engine works on it, or it just waits. */
  | { readonly kind: "working" }
  /** The first engine does not answer at all. */
  | { readonly kind: "first_engine_away" }
  /** A later stage does not answer. */
  | { readonly kind: "stage_away"; readonly address: string };

export interface StallWatch {
  /** Asks the first engine of a stream about it. */
  ask(first: BackendServer, requestId: string): Promise<StallVerdict>;
}

type Asked = Promise<ReadonlyMap<string, string> | null>;

/** Creates the watch of one instance. */
export function createStallWatch(options: {
  readonly fleet: BackendFleet;
  readonly engines: EngineCalls;
}): StallWatch {
  const { fleet, engines } = options;
  const asked = new Map<
    string,
    { readonly at: number; readonly answer: Asked }
  >();

  function askShared(first: BackendServer): Asked {
    const now = performance.now();
    const last = asked.get(first.id);
    if (last && now - last.at < SHARED_FOR_MS) return last.answer;
    const answer = readStalled(first);
    asked.set(first.id, { at: now, answer });
    return answer;
  }

  async function readStalled(first: BackendServer): Asked {
    const report = await engines.report(first.address, REPORT_TIMEOUT_MS);
    if (!report) return null;
    fleet.putReport(first.id, report);
    return new Map(
      report.stalled.map(({ requestId, address }) => [requestId, address]),
    );
  }

  return {
    async ask(first, requestId) {
      const stalled = await askShared(first);
      if (!stalled) {
        fleet.doubts.away(first.id, "silent");
        log.warn("first_engine_away", { id: first.id, request: requestId });
        return { kind: "first_engine_away" };
      }
      const address = stalled.get(requestId);
      if (address === undefined) return { kind: "working" };
      const stage = fleet.byAddress(address);
      if (stage) fleet.doubts.away(stage.id, "silent");
      log.warn("stage_away", { id: stage?.id, address, request: requestId });
      return { kind: "stage_away", address };
    },
  };
}
