/** What an engine reports about itself. */
import type { EngineState } from "@rosemarypin/schemas";
import type { EngineStandInSettings } from "../stand_in_settings.ts";
import { cacheBytesOf } from "./cache_export.ts";
import type { OrderState } from "./order_state.ts";
import type { PromptMeter } from "./prompt_meter.ts";
import type { SendMeter } from "./send_meter.ts";
import type { SequenceTable } from "./sequence_table.ts";

/** Describes the engine as it is now. */
export function describeEngineState(
  settings: EngineStandInSettings,
  options: {
    readonly incarnation: number;
    readonly order: OrderState;
    readonly table: SequenceTable;
    readonly prompts: PromptMeter;
    readonly sends: SendMeter;
  },
): EngineState {
  const { incarnation, order, table, prompts, sends } = options;
  const { fencingNumber, noteNumber, hold, adapters } = order.current();
  const running = countRunning(table);
  return {
    engine: settings.id,
    incarnation,
    accelerator: settings.accelerator,
    failureDomain: settings.failureDomain,
    roles: settings.roles,
    fencingNumber,
    noteNumber,
    held: hold,
    adapters,
    running,
    leaving: order.isLeaving(),
    load: running.reduce((sum, { count }) => sum + count, 0),
    cacheBytes: cacheBytesOf(settings.speed),
    promptMicros: prompts.micros(),
    sendMs: sends.leastMs(),
  };
}

function countRunning(table: SequenceTable): EngineState["running"] {
  const counts = new Map<string, EngineState["running"][number]>();
  for (const { request } of table.allRunning()) {
    const { model, version } = request;
    const key = `${model}/${version}`;
    const count = (counts.get(key)?.count ?? 0) + 1;
    counts.set(key, { model, version, count });
  }
  return [...counts.values()];
}
