/** Stand-in of the platform's weight store, with its rate limit. */
import type { Server } from "node:http";
import { reply, startJsonServer } from "./http_json.ts";

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
  return startJsonServer({
    ...options,
    async handle({ response, body }) {
      const { megabytes } = body as { megabytes: number };
      const now = performance.now();
      const takesMs = (megabytes / options.megabytesPerSecond) * 1_000;
      busyUntil = Math.max(now, busyUntil) + takesMs;
      await new Promise((resolve) => setTimeout(resolve, busyUntil - now));
      reply(response, 200, { megabytes });
    },
  });
}
