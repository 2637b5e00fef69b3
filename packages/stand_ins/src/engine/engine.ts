/**
 * Stand-in of a model engine: holds a range of layers, batches continuously,
 * passes outputs to the next stage, and streams tokens from the first stage.
 */
import type { Server } from "node:http";
import { startJsonServer } from "../http_json.ts";
import type { EngineStandInSettings } from "../stand_in_settings.ts";
import { createAttempts } from "./attempts.ts";
import { createBatchLoop } from "./batch_loop.ts";
import { createCacheExports, type ExportFault } from "./cache_export.ts";
import { createCacheImport } from "./cache_import.ts";
import { createEngineLink, type LinkFault } from "./engine_link.ts";
import { createEngineMessages } from "./engine_messages.ts";
import { createEngineRoutes } from "./engine_routes.ts";
import { describeEngineState } from "./engine_state.ts";
import { createOrderState } from "./order_state.ts";
import { createPromptMeter } from "./prompt_meter.ts";
import { createFileJournal, type RunJournal } from "./run_journal.ts";
import { createSendMeter } from "./send_meter.ts";
import { createSequenceTable } from "./sequence_table.ts";
import { createStepRunner } from "./step_runner.ts";

/** What tests reach into an engine with. */
export interface EngineHooks {
  readonly journal?: RunJournal;
  readonly linkFault?: LinkFault;
  readonly exportFault?: ExportFault;
  /** Aborts when the engine is killed: it does nothing from then on. */
  readonly killed?: AbortSignal;
  /** Resolves while the engine is not frozen. */
  readonly whenRunning?: () => Promise<void>;
}

/** Starts an engine that holds nothing until it is ordered to. */
export async function startEngine(
  settings: EngineStandInSettings,
  hooks: EngineHooks = {},
): Promise<Server> {
  const { id, address, speed } = settings;
  const incarnation = Date.now();
  const journal =
    hooks.journal ??
    (settings.journal ? createFileJournal(settings.journal) : null);
  const table = createSequenceTable();
  const prompts = createPromptMeter();
  const sends = createSendMeter();
  const order = createOrderState(settings);
  let { linkMs } = speed;
  const dispatch = createEngineLink({
    own: address,
    linkMs: () => linkMs,
    fault: hooks.linkFault,
    meter: sends,
    receive: (message) => void messages.receive(message),
    onUnsent: (unsent, reason) =>
      messages.reportLost(unsent, { cause: "unreachable", reason }),
    onUnknown: (unknown) =>
      messages.reportLost(unknown, {
        cause: "no_cache",
        reason: "no KV cache",
      }),
  });
  const runStep = createStepRunner({ engine: id, incarnation, table, journal });
  const enqueue = createBatchLoop({
    speed,
    meter: prompts,
    // An engine without roles runs what it was ordered to hold.
    layers: () =>
      settings.roles[0]?.layers ??
      order.current().hold[0]?.layers ?? { from: 0, to: 0 },
    killed: hooks.killed,
    whenRunning: hooks.whenRunning,
    runSteps: (steps) => dispatch(steps.flatMap(runStep)),
  });
  const importCache = createCacheImport({ table, order });
  const shared = {
    incarnation,
    table,
    order,
    dispatch,
    enqueue,
    importCache,
  };
  const attempts = createAttempts(shared);
  const messages = createEngineMessages({ ...shared, attempts });
  const cacheExports = createCacheExports({
    incarnation,
    table,
    order,
    speed,
    linkMs: () => linkMs,
    fault: hooks.exportFault,
    stop: (sequence) =>
      attempts.stop(sequence, { reason: "moved", takenOver: true }),
  });
  const route = createEngineRoutes({
    attempts,
    cacheExports,
    messages,
    order,
    table,
    setFaults(faults) {
      linkMs = faults.linkMs;
      const { exportBytesPerSecond } = faults;
      if (exportBytesPerSecond) cacheExports.setSpeed(exportBytesPerSecond);
    },
    describeState: () =>
      describeEngineState(settings, {
        incarnation,
        order,
        table,
        prompts,
        sends,
      }),
  });
  const { host, port } = address;
  return startJsonServer({
    host,
    port,
    async handle(exchange) {
      await hooks.whenRunning?.();
      return route(exchange);
    },
  });
}
