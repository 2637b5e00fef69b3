import { validateHeaderValue } from "node:http";
import {
  createMemoryStore,
  ODD_VALUES,
  withChangedParts,
} from "@rosemarypin/fakes";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { decodeRestrictions } from "./backends/mod.ts";
import { decodeHandoffReport, decodeHandoffTerms } from "./callers/mod.ts";
import { createChangeLog, positionSchema } from "./following/change_log.ts";
import {
  createPresenceTable,
  PRESENCE_PREFIX,
} from "./following/presence_table.ts";
import {
  followRequestSchema,
  followResponseSchema,
  relayedPresenceSchema,
} from "./following/relay_protocol.ts";
import { createPromptQuarantine } from "./prompts/mod.ts";
import { encodeDemand } from "./streams/demand_records.ts";
import { createEventSplitter } from "./streams/event_splitter.ts";
import {
  decodeUsageReport,
  encodeUsageReport,
} from "./streams/usage_datagram.ts";
import { createHashIndex, encodeLoads } from "./streams/usage_records.ts";

/** A failure prints its own seed and path, to be put in here. */
const RUNS = { seed: 7, numRuns: 300 };
/** Processor time of decoding one piece, to which other processes add none. */
const MAX_MS = 500;

const oddValue = fc.oneof(
  fc.constantFrom(...ODD_VALUES),
  fc.string({ unit: "binary" }),
  fc.double(),
  fc.jsonValue({ maxDepth: 3 }),
);

const changes = fc.array(fc.record({ place: fc.nat(100), value: oddValue }), {
  minLength: 1,
  maxLength: 4,
});

/** Runs the check on changed content; each run has to be short. */
function fuzz(content: unknown, check: (changed: unknown) => void): void {
  fc.assert(
    fc.property(changes, (partChanges) => {
      const changed = withChangedParts(content, partChanges);
      const before = process.cpuUsage();
      check(changed);
      const { user, system } = process.cpuUsage(before);
      expect((user + system) / 1_000).toBeLessThan(MAX_MS);
    }),
    RUNS,
  );
}

/** As received: encoded by another writer; `null` if it can't be. */
function encode(content: unknown): string | null {
  try {
    return JSON.stringify(content) ?? null;
  } catch {
    return null;
  }
}

const presence = {
  failureDomain: "a",
  startedAt: 1_775_573_696_019,
  renewal: 3,
  peer: { host: "10.0.0.1", port: 7_341 },
  leaving: false,
  reachesEngines: true,
  ability: 100,
  isEstablished: true,
  ranForMs: 5_000,
};

const indexes = {
  engines: createHashIndex(() => ["e-1", "e-2"]),
  services: createHashIndex(() => ["model"]),
};

const usageReport = {
  from: "i-1",
  sequence: 1,
  startedAt: 1_775_573_696_019,
  loads: new Map([["e-1", { held: 5, unread: 1 }]]),
  demand: new Map([
    ["model", new Map([[1, { arrivingPerSecond: 1, waiting: 2, held: 3 }]])],
  ]),
};

describe("odd content from other instances", () => {
  it("in presence leaves the others in use, with addresses to call", () => {
    fuzz(presence, (odd) => {
      const table = createPresenceTable(`${PRESENCE_PREFIX}own`);
      const objects = [
        { key: `${PRESENCE_PREFIX}odd`, value: odd, version: 1 },
        { key: `${PRESENCE_PREFIX}sound`, value: presence, version: 1 },
      ];
      table.applyList(objects, { isRecovery: false });
      const entries = table.entries();
      expect(entries.at(-1)?.instance).toBe("sound");
      for (const entry of entries) {
        table.isReachable(entry);
        const { peer } = entry.presence;
        if (peer)
          expect(URL.canParse(`http://${peer.host}:${peer.port}`)).toBe(true);
        expect((peer?.port ?? 1) > 0 && (peer?.port ?? 1) < 65_536).toBe(true);
      }
    });
  });

  it("in what relays pass on can be applied, or is rejected", () => {
    const object = { key: `${PRESENCE_PREFIX}a`, value: presence, version: 1 };
    const relayed = {
      version: 5,
      ageMs: 10,
      objects: [object, { ...object, changedAgoMs: 5 }],
      heardAgoMs: { a: 5 },
    };
    const position = { epoch: 5, sequence: 2 };
    const change = {
      prefix: "servers/",
      position,
      isWhole: false,
      objects: [object],
      removed: ["servers/x"],
      revision: 9,
    };
    const request = {
      holdMs: 5,
      positions: [{ prefix: "servers/", position }],
      from: "i-1",
      presence: 4,
    };
    const content = {
      relayed,
      request,
      response: { ageMs: 5, changes: [change] },
    };
    const log = createChangeLog(new Map());
    log.recordChange("servers/a");
    fuzz(content, (odd) => {
      const parts = (odd ?? {}) as Record<string, unknown>;
      const parsed = relayedPresenceSchema.safeParse(parts.relayed);
      const table = createPresenceTable(`${PRESENCE_PREFIX}own`);
      if (parsed.success) table.applyRelayed(parsed.data);
      followResponseSchema.safeParse(parts.response);
      const asked = followRequestSchema.safeParse(parts.request);
      for (const { position } of asked.data?.positions ?? []) {
        expect(positionSchema.nullable().safeParse(position).success).toBe(
          true,
        );
        log.after(position);
      }
    });
  });

  it("in limits and backoffs of servers gives figures in bounds, or none", () => {
    const odd = { id: "e-1", startedAt: 5, requestsPerSecond: 3, backoffMs: 0 };
    const sound = { id: "e-2", startedAt: 5, requestsPerSecond: 3 };
    fuzz([odd, odd], (changed) => {
      const elements = Array.isArray(changed) ? changed : [changed];
      const { restrictions } = decodeRestrictions([
        ...elements,
        { ...sound, backoffMs: 5 },
      ]);
      expect(restrictions.at(-1)?.id).toBe("e-2");
      for (const { requestsPerSecond, backoffMs } of restrictions) {
        expect((requestsPerSecond ?? 0) >= 0).toBe(true);
        expect(backoffMs >= 0 && backoffMs <= 600_000).toBe(true);
      }
      decodeRestrictions(changed);
    });
  });

  it("in datagrams gives figures in bounds, or none", () => {
    const datagram = JSON.parse(
      encodeUsageReport(usageReport, indexes).toString(),
    );
    fuzz(datagram, (odd) => {
      const bytes = Buffer.from(encode(odd) ?? "");
      const report = decodeUsageReport(bytes, indexes);
      for (const { held, unread } of report?.loads.values() ?? [])
        expect(held >= 0 && unread >= 0 && held + unread < 2 ** 42).toBe(true);
    });
  });

  it("in datagrams of any bytes is none", () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
        expect(decodeUsageReport(bytes, indexes)).toBeNull();
      }),
      RUNS,
    );
  });

  it("in hand-off terms can be sent on, or is rejected", () => {
    const terms = {
      from: "i-1",
      configurationVersion: 3,
      acceptedForMs: 5,
      service: "shop",
      deadlineMs: 2_000,
      maxAttempts: 2,
      lastEventId: "12",
      takesRetry: false,
      failedServers: ["p-1"],
      arrival: { arrival: "first", elapsedMs: 5 },
    };
    fuzz(terms, (odd) => {
      const text = encodeURIComponent(encode(odd) ?? "");
      const decoded = decodeHandoffTerms(text);
      if (decoded) {
        validateHeaderValue("last-event-id", decoded.lastEventId ?? "");
        expect(decoded.deadlineMs).toBeGreaterThan(0);
        expect(decoded.maxAttempts).toBeGreaterThanOrEqual(1);
      }
      decodeHandoffReport(text);
    });
    for (const text of ["%", "%ff", "{", "\ud800", "null"])
      expect(decodeHandoffTerms(text)).toBeNull();
  });

  it("in messages of the quarantine is rejected, or has no effect but its own", () => {
    const { store } = createMemoryStore().client();
    const quarantine = createPromptQuarantine({
      store,
      peers: {
        reportEnd: async () => {},
        announce: async () => false,
        release: async () => {},
      },
      signal: AbortSignal.abort(),
    });
    const part = { service: "model", part: "bad" };
    const object = {
      ...part,
      engines: ["e-1", "e-2", "e-3"],
      since: 1,
      trials: 0,
      nextTrialAt: null,
    };
    const messages = {
      end: { service: "model", engine: "e-1", agoMs: 5, prompts: [["a", "b"]] },
      quarantine: { quarantine: object, firstEndAgoMs: 5 },
      release: part,
      object,
    };
    fuzz(messages, (odd) => {
      const parts = (odd ?? {}) as Record<string, unknown>;
      const names = Object.keys(quarantine.methods);
      for (const [index, name] of names.entries()) {
        // A method rejects its parameters by an exception, which is the answer.
        try {
          quarantine.methods[name]?.(Object.values(parts)[index]);
        } catch {}
      }
      quarantine.prefix.onObject({ key: "x", value: parts.object, version: 1 });
      const sound = { service: "model", parts: ["sound"] };
      expect(quarantine.decide(sound).kind).not.toBe("refused");
    });
  });
});

describe("what this instance tells others", () => {
  // Guards against an encoding that never comes to its end.
  it("has an end for any figures", () => {
    const figures = fc.record({
      held: fc.double(),
      unread: fc.double(),
      waiting: fc.double(),
    });
    fc.assert(
      fc.property(figures, ({ held, unread, waiting }) => {
        const loads = encodeLoads([["e-1", { held, unread }]], indexes.engines);
        expect(loads.length).toBeLessThan(40);
        const demand = { arrivingPerSecond: unread, waiting, held };
        const byClass = new Map([[1, demand]]);
        const text = encodeDemand(
          new Map([["model", byClass]]),
          indexes.services,
        );
        expect(text.length).toBeLessThan(40);
      }),
      RUNS,
    );
  });
});

describe("a stream of any bytes", () => {
  it("keeps all bytes, and gives IDs that fit in headers", () => {
    const chunks = fc.array(
      fc.oneof(
        fc.uint8Array({ maxLength: 40 }),
        fc.constantFrom("id: 5\n\n", "id:", "\n\n", "\r\n\r\n", "id: \0\n\n"),
      ),
      { maxLength: 30 },
    );
    fc.assert(
      fc.property(chunks, (parts) => {
        const splitter = createEventSplitter();
        const buffers = parts.map((part) => Buffer.from(part as string));
        const events = buffers.flatMap((part) => splitter.push(part));
        const kept = [...events.map(({ bytes }) => bytes), splitter.rest()];
        expect(Buffer.concat(kept).equals(Buffer.concat(buffers))).toBe(true);
        for (const { id } of events)
          validateHeaderValue("last-event-id", id ?? "");
      }),
      RUNS,
    );
  });
});
