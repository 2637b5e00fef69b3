/** Process of all engines and plain servers; its plan is the only argument. */
import {
  createRemoteStore,
  type EngineRegistry,
  type EngineStandIn,
  entryOf,
  type PlainStandIn,
  startEngine,
  startPlainServer,
} from "@rosemarypin/platform/stand_in";
import { createSharedLoads } from "./shared_loads.ts";
import { type PlannedServer, serversPlanSchema } from "./site.ts";

const plan = serversPlanSchema.parse(JSON.parse(process.argv[2] ?? ""));
const store = createRemoteStore(plan.storeAddress);
const registry: EngineRegistry = new Map();
const loads = createSharedLoads(plan.loadsAtOnce);
const servers: [PlannedServer, EngineStandIn | PlainStandIn][] = [];
for (const server of plan.servers)
  servers.push([server, await startServer(server)]);
/** Writes of entries so far; each renews one. */
let renewals = 0;
for (const [index, each] of servers.entries()) {
  const delayMs = (index / servers.length) * plan.heartbeatMs;
  setTimeout(() => {
    void enter(...each);
    setInterval(() => void enter(...each), plan.heartbeatMs);
  }, delayMs);
}

function startServer({ id, kind }: PlannedServer) {
  // Each start is another life of the server, under a name of its own.
  const name = `${id}.${Date.now().toString(36)}`;
  if (kind === null) return startPlainServer(name);
  return startEngine({
    id: name,
    registry,
    hasEnginesElsewhere: true,
    memoryMb: plan.kinds[kind]?.memoryMb ?? 0,
    layerMb: plan.layerMb,
    eventMs: plan.eventMs,
    load: (layers) => loads.load((plan.loadMs * layers) / plan.layers),
  });
}

async function enter(
  { domain, kind }: PlannedServer,
  server: EngineStandIn | PlainStandIn,
): Promise<void> {
  renewals += 1;
  const spec = entryOf(server, { domain, kind, renewal: renewals });
  try {
    await store.put("servers", server.id, spec);
  } catch {
    // The next renewal follows; the store may be away.
  }
}
