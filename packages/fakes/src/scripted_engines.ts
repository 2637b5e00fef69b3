/** Engines whose answers to each attempt a test writes down. */
import type { AttemptStart, EngineClient } from "@rosemarypin/backends";
import type {
  Address,
  AttemptRequest,
  EngineEvent,
  EngineState,
} from "@rosemarypin/schemas";

/** What the engines do with one attempt. */
export type AttemptScript = (
  attempt: AttemptRequest,
  signal: AbortSignal,
) => AttemptStart | Promise<AttemptStart>;

export interface ScriptedEngines extends EngineClient {
  /** The attempts that were sent, in order. */
  readonly attempts: readonly AttemptRequest[];
  /** Ports of engines that do not answer probes. */
  readonly silent: Set<number>;
  /** Incarnation that an engine reports, by port. */
  readonly incarnations: Map<number, number>;
}

/** Creates engines that follow `scripts`, one for each attempt. */
export function createScriptedEngines(
  scripts: readonly AttemptScript[],
): ScriptedEngines {
  const attempts: AttemptRequest[] = [];
  const silent = new Set<number>();
  const incarnations = new Map<number, number>();

  return {
    attempts,
    silent,
    incarnations,
    async start(_address, attempt, { signal }) {
      attempts.push(attempt);
      const script = scripts[attempts.length - 1];
      if (!script) {
        return { kind: "not_sent", detail: "no script", refused: true };
      }
      return script(attempt, signal);
    },
    async cancel() {},
    async order() {
      return { kind: "not_sent", detail: "no orders here", refused: true };
    },
    async readState({ port }) {
      if (silent.has(port)) return null;
      return scriptedState(port, incarnations.get(port) ?? 1);
    },
  };
}

/** An engine that gives these events; `hang` keeps the stream open. */
export function giveEvents(
  events: readonly EngineEvent[],
  options: { readonly hang?: boolean } = {},
): AttemptStart {
  async function* stream(): AsyncGenerator<EngineEvent> {
    yield* events;
    if (options.hang) await new Promise(() => {});
  }
  return { kind: "started", events: stream() };
}

/** Address of the scripted engine with this port. */
export function scriptedAddress(port: number): Address {
  return { host: "127.0.0.1", port };
}

/** State of the scripted engine with this port. */
export function scriptedState(port: number, incarnation: number): EngineState {
  return {
    engine: `engine-${port}`,
    incarnation,
    accelerator: "scripted",
    failureDomain: "domain-1",
    roles: [],
    fencingNumber: 1,
    noteNumber: 1,
    held: [],
    adapters: [],
    running: [],
    leaving: false,
    load: 0,
  };
}
