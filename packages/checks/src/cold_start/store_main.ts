/** Process of the stand-in store; its plan is the only argument. */
import { startStore } from "@rosemarypin/platform/stand_in";
import { storePlanSchema } from "./site.ts";

const HOST = "127.0.0.1";
const EXPIRY_CHECK_MS = 200;

const plan = storePlanSchema.parse(JSON.parse(process.argv[2] ?? ""));
const store = await startStore({ host: HOST, port: plan.port });
const { writesPerSecond, readsPerSecond, delayMs } = plan;
store.setFaults({ writesPerSecond, readsPerSecond, delayMs });
/** Revision of each entry of a server, and when it was first found. */
const seen = new Map<string, { revision: number; at: number }>();
setInterval(removeLapsedEntries, EXPIRY_CHECK_MS);

function removeLapsedEntries(): void {
  const now = performance.now();
  for (const { metadata } of store.list("servers")) {
    const { name, revision } = metadata;
    const last = seen.get(name);
    if (last?.revision !== revision) seen.set(name, { revision, at: now });
    else if (now - last.at > plan.entryLifeMs) {
      seen.delete(name);
      store.remove("servers", name);
    }
  }
}
