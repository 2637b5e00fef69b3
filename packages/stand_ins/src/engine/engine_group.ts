/** Engines in one process that tests kill, freeze and cut off. */
import type { Server } from "node:http";
import {
  type Address,
  type EngineSettings,
  formatAddress,
  type LayerRange,
} from "@rosemarypin/schemas";
import { request } from "undici";
import type { EngineSpeed } from "../stand_in_settings.ts";
import type { ExportFault } from "./cache_export.ts";
import { startEngine } from "./engine.ts";
import type { LinkFault } from "./engine_link.ts";
import type { RunEntry } from "./run_journal.ts";

const LISTEN_TRIES = 100;
const LISTEN_AGAIN_MS = 50;

/** Engines that hold the same layers. */
export interface EngineGroupStage {
  readonly layers: LayerRange;
  readonly count: number;
  readonly speed: EngineSpeed;
}

export interface EngineGroupOptions {
  readonly model: string;
  readonly versions: readonly string[];
  readonly stages: readonly EngineGroupStage[];
  readonly nextAddress: () => Address;
  /** Applies to each message between two engines. */
  readonly linkFault?: LinkFault;
  /** Applies to each KV cache that an engine exports. */
  readonly exportFault?: ExportFault;
}

/** The engines, and what can happen to them. */
export interface EngineGroup {
  readonly engines: readonly EngineSettings[];
  /** All that ran, in order; it outlives each engine. */
  readonly journal: readonly RunEntry[];
  kill(engine: string): void;
  /** Starts a killed engine at its address, with empty memory. */
  restart(engine: string): Promise<void>;
  /** Tells an engine that it is to leave; it takes no new attempt. */
  leave(engine: string): Promise<void>;
  /** Sets the speed at which an engine exports KV cache, in bytes a second. */
  slowExports(engine: string, bytesPerSecond: number): Promise<void>;
  /** Sets the time that the engine's messages take, in milliseconds. */
  slowLink(engine: string, linkMs: number): Promise<void>;
  freeze(engine: string): void;
  thaw(engine: string): void;
  stop(): void;
}

interface Member {
  readonly settings: EngineSettings;
  readonly speed: EngineSpeed;
  server: Server | null;
  killed: AbortController;
  frozen: PromiseWithResolver | null;
}

interface PromiseWithResolver {
  readonly promise: Promise<void>;
  resolve(): void;
}

/** Starts all engines and orders them to hold their layers. */
export async function startEngineGroup(
  options: EngineGroupOptions,
): Promise<EngineGroup> {
  const journal: RunEntry[] = [];
  const members = new Map<string, Member>();
  for (const [index, stage] of options.stages.entries()) {
    for (let copy = 1; copy <= stage.count; copy++) {
      const settings: EngineSettings = {
        id: `engine-${index + 1}-${copy}`,
        failureDomain: `domain-${copy}`,
        address: options.nextAddress(),
        accelerator: "stand-in",
        checksFencing: true,
        roles: [{ model: options.model, layers: stage.layers }],
      };
      members.set(settings.id, {
        settings,
        speed: stage.speed,
        server: null,
        killed: new AbortController(),
        frozen: null,
      });
    }
  }
  for (const member of members.values()) await start(member);

  async function start(member: Member): Promise<void> {
    const killed = new AbortController();
    member.killed = killed;
    member.server = await listen(member, killed.signal);
    await orderToHold(member);
  }

  /** Another process may hold the port of a killed engine for a moment. */
  async function listen(member: Member, killed: AbortSignal): Promise<Server> {
    for (let tries = 1; ; tries++) {
      try {
        return await startMember(member, killed);
      } catch (error) {
        if (tries === LISTEN_TRIES) throw error;
        await new Promise((resolve) => setTimeout(resolve, LISTEN_AGAIN_MS));
      }
    }
  }

  function startMember(member: Member, killed: AbortSignal): Promise<Server> {
    const { settings, speed } = member;
    return startEngine(
      { kind: "engine", ...settings, speed },
      {
        journal: { append: (entries) => journal.push(...entries) },
        killed,
        whenRunning: () => whenRunning(member, killed),
        linkFault: async (messages, repeat) => {
          await whenRunning(member, killed);
          const fault = options.linkFault?.(messages, repeat);
          return (await fault) ?? messages;
        },
        exportFault: async () => {
          await whenRunning(member, killed);
          await options.exportFault?.();
        },
      },
    );
  }

  async function orderToHold({ settings, killed }: Member): Promise<void> {
    const hold = options.versions.map((version) => ({
      model: options.model,
      version,
      layers: settings.roles[0]?.layers,
    }));
    const order = { fencingNumber: 1, noteNumber: 1, hold, adapters: [] };
    const url = `http://${formatAddress(settings.address)}/order`;
    while (!killed.signal.aborted) {
      try {
        const response = await request(url, {
          method: "POST",
          body: JSON.stringify(order),
          // The next engine at this address must not get a dead connection.
          reset: true,
        });
        return await response.body.dump();
      } catch {
        // Killed while it started, or not listening yet: the loop tells.
      }
    }
  }

  /** A killed engine never goes on; a frozen one does when it is thawed. */
  function whenRunning(member: Member, killed: AbortSignal): Promise<void> {
    if (killed.aborted) return new Promise(() => {});
    return member.frozen?.promise ?? Promise.resolve();
  }

  function find(engine: string): Member {
    const member = members.get(engine);
    if (!member) throw new Error(`there is no ${engine}`);
    return member;
  }

  function kill(member: Member): void {
    member.killed.abort();
    member.server?.closeAllConnections();
    member.server?.close();
    member.server = null;
    thaw(member);
  }

  function thaw(member: Member): void {
    member.frozen?.resolve();
    member.frozen = null;
  }

  async function tell(
    engine: string,
    message: { readonly path: string; readonly body: unknown },
  ): Promise<void> {
    const { address } = find(engine).settings;
    const url = `http://${formatAddress(address)}${message.path}`;
    const body = JSON.stringify(message.body);
    const response = await request(url, { method: "POST", body, reset: true });
    await response.body.dump();
  }

  return {
    engines: [...members.values()].map(({ settings }) => settings),
    journal,
    kill: (engine) => kill(find(engine)),
    async restart(engine) {
      const member = find(engine);
      if (!member.server) await start(member);
    },
    freeze(engine) {
      find(engine).frozen ??= createResolver();
    },
    thaw: (engine) => thaw(find(engine)),
    leave: (engine) => tell(engine, { path: "/leave", body: {} }),
    slowLink: (engine, linkMs) =>
      tell(engine, { path: "/faults", body: { linkMs } }),
    slowExports(engine, exportBytesPerSecond) {
      const { linkMs } = find(engine).speed;
      const body = { linkMs, exportBytesPerSecond };
      return tell(engine, { path: "/faults", body });
    },
    stop() {
      for (const member of members.values()) kill(member);
    },
  };
}

function createResolver(): PromiseWithResolver {
  let resolve = () => {};
  const promise = new Promise<void>((done) => {
    resolve = done;
  });
  return { promise, resolve };
}
