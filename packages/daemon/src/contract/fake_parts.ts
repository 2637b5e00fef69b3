/** Parts behind the two HTTP servers, faked for their contract tests. */
import type {
  EngineClient,
  EngineFleet,
  ParkedAnswers,
} from "@rosemarypin/backends";
import { createRecoveryLimiter } from "@rosemarypin/calls";
import {
  createLimitCoordinator,
  createLimitsOf,
  createSharedLimits,
  type SharedLimits,
} from "@rosemarypin/limits";
import type { Member } from "@rosemarypin/membership";
import type { NoteKeeper, Publisher } from "@rosemarypin/release";
import type { Router } from "@rosemarypin/routing";
import {
  type AttemptRequest,
  type EngineEvent,
  type NoteRecord,
  type Settings,
  settingsSchema,
} from "@rosemarypin/schemas";
import { createMetrics } from "@rosemarypin/telemetry";
import type { AdminServerOptions } from "../admin_server.ts";
import { hashKey } from "../authentication.ts";
import { createInstanceLevels } from "../instance_levels.ts";
import { createNoteInspector } from "../note_inspector.ts";
import { createRequestMemory } from "../request_memory.ts";
import { createWorkInProgress } from "../work_in_progress.ts";

const HOST = "127.0.0.1";
/** The settings ask for a real port; the tests let the system choose. */
const ANY_PORT = 0;
const PLACEHOLDER_PORT = 9;
/** A prompt that asks for words longer than all buffers on the way. */
export const LONG_WORDS = "long";
const LONG_WORD_LENGTH = 65_536;

export const goodKey = "good-caller-key";
export const badCallerKey = "bad-caller-key";
export const limitedKey = "limited-caller-key";
export const adminKey = "administrators-key";

/** Limits that a test can run into within a second or two. */
const tightLimits = {
  bodyBytes: 8_192,
  headerBytes: 4_096,
  readerStallMs: 300,
  bodiesBytes: 65_536,
  requestsPerConnection: 4,
};

/**
 * Times that a slow caller runs into. Only cases of slow callers use them: on
 * a busy machine a good call may take longer than a short limit.
 */
export const slowLimits = { headersTimeoutMs: 1_000, requestTimeoutMs: 2_000 };

/** Settings of one instance that listens on ports of the system's choice. */
export function fakeSettings(): Settings {
  const address = (port: number) => ({ host: HOST, port });
  const settings = settingsSchema.parse({
    deployment: "contract",
    region: "here",
    instance: {
      id: "entry-1",
      failureDomain: "a",
      addresses: {
        callers: address(PLACEHOLDER_PORT),
        peers: address(PLACEHOLDER_PORT + 1),
        admin: address(PLACEHOLDER_PORT + 2),
      },
    },
    adminKeySha256: hashKey(adminKey),
    platform: { objectApi: "http://127.0.0.1:9" },
    organisations: [
      { name: "good", keySha256: hashKey(goodKey) },
      { name: "bad", keySha256: hashKey(badCallerKey), priority: "batch" },
      {
        name: "limited",
        keySha256: hashKey(limitedKey),
        limits: { requestsPerSecond: 1 },
      },
    ],
    work: [{ name: "draft", priority: "interactive", organisations: ["good"] }],
    services: [
      {
        name: "bookings",
        servers: [{ id: "s1", failureDomain: "a", address: address(9) }],
        calls: [
          { method: "POST", path: "/orders", idempotent: false },
          { method: "GET", path: "/stock/*", idempotent: true },
        ],
      },
    ],
    limits: tightLimits,
  });
  const { instance } = settings;
  const addresses = {
    callers: address(ANY_PORT),
    peers: address(ANY_PORT),
    admin: address(ANY_PORT),
  };
  return { ...settings, instance: { ...instance, addresses } };
}

/** Note 1 allows model `assist` with adapter `parts`, and the bookings. */
export const fakeRecord: NoteRecord = {
  number: 1,
  note: {
    supersedes: 0,
    publishId: "publish-1",
    reason: "first",
    added: [],
    changed: [],
    withdrawn: [],
  },
  catalogue: {
    models: {
      assist: {
        versions: {
          v1: {
            version: "v1",
            layers: 2,
            layerSets: [{ name: "all", from: 0, to: 2 }],
            addedBy: 1,
          },
        },
        serve: ["v1"],
        adapters: ["parts"],
      },
    },
    services: ["bookings"],
    withdrawn: [],
  },
  recordedAt: 0,
  recordedBy: "entry-1",
};

/** Everything that a callers' server needs, with engines that give words. */
export function fakeCallerParts(settings: Settings) {
  const metrics = createMetrics();
  const started: { requestId: string; priority: string }[] = [];
  const keeper = fakeKeeper();
  const engines: EngineClient = {
    ...unusedEngineCalls,
    async start(_address, attempt, { signal }) {
      const { requestId, priority } = attempt;
      started.push({ requestId, priority });
      return { kind: "started", events: speak(attempt, signal) };
    },
  };
  const fleet = {
    engines: () => [],
    observe() {},
    reportLost() {},
  } as unknown as EngineFleet;
  return {
    settings,
    metrics,
    levels: createInstanceLevels(settings),
    work: createWorkInProgress(),
    requests: createRequestMemory({ instance: settings.instance.id }),
    limits: createOwnLimits(settings),
    answers: {
      keeper,
      router: fakeRouter,
      fleet,
      engines,
      metrics,
      parked: { readAnswer: async () => null } as unknown as ParkedAnswers,
      recoveries: createRecoveryLimiter({ metrics }),
    },
    callService: async () => ({
      kind: "answer" as const,
      repeated: false,
      answer: {
        status: 201,
        contentType: "application/json",
        body: Buffer.from("{}"),
        isDelimited: true,
      },
    }),
    /** Attempts that reached an engine. */
    started,
  };
}

/** A living instance that peers reach at `port`. */
export function fakeMember(port: number, draining = false): Member {
  return {
    record: {
      id: `entry-${port}`,
      failureDomain: "a",
      peer: { host: HOST, port },
      incarnation: 1,
      revision: 0,
      left: false,
      shared: { note: 1, draining, load: 0 },
    },
    state: "alive",
    heardAt: 0,
  };
}

/** Limits of a deployment of one instance. */
export function createOwnLimits(settings: Settings): SharedLimits {
  const limitsOf = createLimitsOf(settings.organisations);
  const home = createLimitCoordinator({ limitsOf });
  return createSharedLimits({
    limitsOf,
    coordinators: {
      coordinatorOf: () => "",
      isSelf: () => true,
      report: async (_home, report) => home.report(report),
    },
  });
}

/** Everything that an administration server needs, with note 1 recorded. */
export function fakeAdminParts(settings: Settings): AdminServerOptions {
  const publisher: Publisher = {
    publish: async () => ({
      kind: "recorded",
      record: fakeRecord,
      repeated: false,
    }),
    history: async () => [fakeRecord],
    find: async (number) => (number === 1 ? fakeRecord : null),
  };
  const keeper = fakeKeeper();
  return {
    settings,
    metrics: createMetrics(),
    publisher,
    inspector: createNoteInspector({ keeper, publisher }),
    status: async () => ({
      deployment: settings.deployment,
      instance: settings.instance.id,
      startedAt: 0,
      note: 1,
      phase: "in_force",
      instances: [],
      backends: [],
    }),
    noteStatus: async (number) => ({
      number,
      phase: "recorded",
      instances: [],
      engines: [],
    }),
    serviceLevels: createInstanceLevels(settings).read,
    findRequest: async (requestId) => ({ requestId, records: [], silent: [] }),
    isReady: () => false,
    drain() {},
  };
}

/** A keeper of note 1. */
export function fakeKeeper(): NoteKeeper {
  return {
    current: () => fakeRecord,
    applied: () => fakeRecord,
    fresh: async () => fakeRecord,
    onChange: () => () => {},
  } as unknown as NoteKeeper;
}

const fakeRouter = {
  covers: () => true,
  stop() {},
  async acquire() {
    const address = { host: HOST, port: PLACEHOLDER_PORT };
    const layers = { from: 0, to: 2 };
    const stages = [{ engine: "engine-1", address, layers }];
    const grant = { stages, observeToken() {}, release() {} };
    return { kind: "granted", grant };
  },
} as unknown as Router;

const unusedEngineCalls = {
  async cancel() {},
  async order() {
    return { kind: "not_sent", detail: "not faked" };
  },
  async readState() {
    return null;
  },
} as unknown as EngineClient;

async function* speak(
  { attempt, maxTokens, promptTokens }: AttemptRequest,
  signal: AbortSignal,
): AsyncGenerator<EngineEvent> {
  const isLong = promptTokens[0] === LONG_WORDS;
  const padding = isLong ? "x".repeat(LONG_WORD_LENGTH) : "";
  for (let index = 0; index < maxTokens; index++) {
    if (signal.aborted) return;
    await new Promise((resolve) => setTimeout(resolve, 1));
    const ends = index + 1 === maxTokens ? "length" : undefined;
    const text = `w${index}${padding}`;
    yield { type: "token", attempt, index, text, digest: "d", ends };
  }
  yield { type: "done", attempt, reason: "length" };
}
