/** Stand-in of the platform's weight store, with its rate limit. */
import type { Server } from "node:http";
import { reply, startJsonServer } from "./http_json.ts";

/** Faults that a test sets with `POST /faults`. */
export interface WeightStoreFaults {
  /** Whether loads are answered with 503. */
  readonly down: boolean;
}

/** A load that was asked for, as `GET /journal` lists it. */
export interface WeightLoad {
  readonly megabytes: number;
  readonly engine?: string;
  /** Whether it was served. */
  readonly served: boolean;
}

/**
 * Starts the store. `POST /loads` with `{ megabytes }` answers when that many
 * would have been served at `megabytesPerSecond`, shared among all callers.
 */
export function startWeightStore(options: {
  readonly host: string;
  readonly port: number;
  readonly megabytesPerSecond: number;
}): Promise<Server> {
  let busyUntil = 0;
  let faults: WeightStoreFaults = { down: false };
  const journal: WeightLoad[] = [];
  return startJsonServer({
    ...options,
    async handle({ response, body, method, url }) {
      if (url.pathname === "/journal") return reply(response, 200, journal);
      if (url.pathname === "/faults") {
        faults = body as WeightStoreFaults;
        return reply(response, 200, faults);
      }
      if (method !== "POST") return reply(response, 404, { error: "no such" });
      const load = body as { megabytes: number; engine?: string };
      journal.push({ ...load, served: !faults.down });
      if (faults.down) return reply(response, 503, { error: "down" });
      const { megabytes } = load;
      const now = performance.now();
      const takesMs = (megabytes / options.megabytesPerSecond) * 1_000;
      busyUntil = Math.max(now, busyUntil) + takesMs;
      await new Promise((resolve) => setTimeout(resolve, busyUntil - now));
      reply(response, 200, { megabytes });
    },
  });
}
