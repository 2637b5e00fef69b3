/** Stand-in of the platform's list of instances, with a lag. */
import type { Server } from "node:http";
import type { InstanceList } from "@rosemarypin/schemas";
import { reply, startJsonServer } from "./http_json.ts";

/** Starts the list; `PUT /instances` sets what shows after the lag. */
export function startInstanceList(options: {
  readonly host: string;
  readonly port: number;
  readonly lagMs: number;
  readonly initial: InstanceList;
}): Promise<Server> {
  let shown = options.initial;
  return startJsonServer({
    ...options,
    handle({ method, response, body }) {
      if (method === "GET") return reply(response, 200, shown);
      setTimeout(() => {
        shown = body as InstanceList;
      }, options.lagMs);
      reply(response, 202, {});
    },
  });
}
