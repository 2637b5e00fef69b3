/**
 * Stand-in of a model engine: holds a range of layers, batches continuously,
 * passes outputs to the next stage, and streams tokens from the first stage.
 */
import type { Server } from "node:http";
import { startJsonServer } from "../http_json.ts";
import type { EngineStandInSettings } from "../stand_in_settings.ts";
import { createAttempts } from "./attempts.ts";
import { createBatchLoop } from "./batch_loop.ts";
import { createEngineLink, type LinkFault } from "./engine_link.ts";
import { createEngineMessages } from "./engine_messages.ts";
import { createEngineRoutes } from "./engine_routes.ts";
import { describeEngineState } from "./engine_state.ts";
import { createOrderState } from "./order_state.ts";
import { createFileJournal, type RunJournal } from "./run_journal.ts";
import { createSequenceTable } from "./sequence_table.ts";
import { createStepRunner } from "./step_runner.ts";

/** What tests reach into an engine with. */
export interface EngineHooks {
  readonly journal?: RunJournal;
  readonly linkFault?: LinkFault;
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
  const order = createOrderState(settings);
  let { linkMs } = speed;
  const dispatch = createEngineLink({
    own: address,
    linkMs: () => linkMs,
    fault: hooks.linkFault,
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
    layers: settings.roles[0]?.layers ?? { from: 0, to: 0 },
    killed: hooks.killed,
    whenRunning: hooks.whenRunning,
    runSteps: (steps, endedAt) => dispatch(steps.flatMap(runStep), endedAt),
  });
  const shared = { incarnation, table, order, dispatch, enqueue };
  const attempts = createAttempts(shared);
  const messages = createEngineMessages({ ...shared, attempts });
  const route = createEngineRoutes({
    attempts,
    messages,
    order,
    table,
    setFaults(faults) {
      linkMs = faults.linkMs;
    },
    describeState: () =>
      describeEngineState(settings, { incarnation, order, table }),
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
