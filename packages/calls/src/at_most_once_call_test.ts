import type {
  ServiceFleet,
  ServiceRequest,
  ServiceResult,
} from "@rosemarypin/backends";
import { createMemoryStore, type MemoryStore } from "@rosemarypin/fakes";
import {
  claimObjectSchema,
  emptyCatalogue,
  type NoteRecord,
  type ServiceSettings,
} from "@rosemarypin/schemas";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createClaimRegistry } from "./claim_registry.ts";
import { createObjectClaimStore } from "./object_claim_store.ts";
import { createResultRecorder } from "./result_recorder.ts";
import { createServiceCaller } from "./service_call.ts";
import type { ServiceCallResult } from "./service_context.ts";

const settings: ServiceSettings = {
  name: "dealer-app",
  servers: ["one", "two"].map((id) => ({
    id,
    failureDomain: "a",
    address: { host: "127.0.0.1", port: 1 },
  })),
  calls: [
    { method: "POST", path: "/orders", idempotent: false },
    { method: "GET", path: "/stock", idempotent: true },
  ],
  timeoutMs: 5_000,
};

const note: NoteRecord = {
  number: 1,
  note: {
    supersedes: 0,
    publishId: "first",
    reason: "first",
    added: [],
    changed: [],
    withdrawn: [],
  },
  catalogue: { ...emptyCatalogue, services: ["dealer-app"] },
  recordedAt: 0,
  recordedBy: "one",
};

type Send = (request: ServiceRequest) => Promise<ServiceResult>;

function answer(text: string): ServiceResult {
  const body = Buffer.from(text);
  const contentType = "text/plain";
  const whole = { status: 201, contentType, body, isDelimited: true };
  return { kind: "answer", answer: whole, leaving: false };
}

const broken: ServiceResult = { kind: "broken", detail: "reset" };
const notSent: ServiceResult = {
  kind: "not_sent",
  detail: "refused",
  refused: true,
};

function createInstance(
  id: string,
  options: {
    readonly memory: MemoryStore;
    readonly send: Send;
    readonly others?: () => readonly Instance[];
    readonly lookup?: boolean;
  },
) {
  const { store, faults } = options.memory.client();
  const registry = createClaimRegistry({ incarnation: 1 });
  const claims = createObjectClaimStore({
    deployment: "test",
    owner: id,
    incarnation: 1,
    store,
  });
  const resultRecorder = createResultRecorder({ claims });
  const fleet: ServiceFleet = {
    choose: (servers) => servers,
    send: (_server, request) => options.send(request),
    applyInstanceList: () => {},
    stop: () => {},
  };
  let current = note;
  const lookup = { path: "/orders/by-key/{key}" };
  const service = options.lookup ? { ...settings, lookup } : settings;
  const call = createServiceCaller({
    keeper: { fresh: async () => current },
    services: [service],
    fleet,
    claims,
    registry,
    owners: {
      async ask({ owner, requestId, incarnation }, { waitMs }) {
        const all = [...(options.others?.() ?? []), instance];
        const target = all.find((candidate) => candidate.id === owner);
        if (!target) return { kind: "process_ended" };
        return target.registry.ask({ requestId, incarnation, waitMs });
      },
    },
    failureDomain: "a",
    resultRecorder,
  });
  const instance = {
    id,
    faults,
    registry,
    withdraw() {
      current = { ...note, number: 2, catalogue: emptyCatalogue };
    },
    resultRecorder,
    settled: () => resultRecorder.finish(600_000),
    order(requestId: string, order: Partial<typeof defaultOrder> = {}) {
      const { key, body, organisation } = { ...defaultOrder, ...order };
      return call({
        requestId,
        organisation,
        service: "dealer-app",
        idempotencyKey: key,
        deadlineAt: Date.now() + 10_000,
        request: {
          method: "POST",
          path: "/orders",
          headers: {},
          body: Buffer.from(body),
        },
      });
    },
    readStock: () =>
      call({
        requestId: "stock",
        organisation: "kano",
        service: "dealer-app",
        idempotencyKey: undefined,
        deadlineAt: Date.now() + 10_000,
        request: {
          method: "GET",
          path: "/stock",
          headers: {},
          body: Buffer.alloc(0),
        },
      }),
  };
  return instance;
}
type Instance = ReturnType<typeof createInstance>;

const defaultOrder = { key: "order-1", body: "part 7", organisation: "kano" };

function summaryOf(result: ServiceCallResult): string {
  return result.kind === "answer"
    ? `answer ${result.answer.body}`
    : `${result.failure.outcome} ${result.failure.code}`;
}

/** A server whose calls the test answers one by one. */
function createManualServer() {
  const calls: ((result: ServiceResult) => void)[] = [];
  return {
    calls,
    send: () =>
      new Promise<ServiceResult>((resolve) => void calls.push(resolve)),
  };
}

beforeEach(() => {
  vi.useFakeTimers({ now: 1_800_000_000_000 });
});
afterEach(() => {
  vi.useRealTimers();
});

describe("a duplicate call", () => {
  it("waits for the answer of the call that still runs elsewhere", async () => {
    // The connection breaks during a slow order, and the dealer's system
    // retries it at another instance while the first call still runs. Without
    // the wait, the retry would report outcome_unknown for an order that
    // succeeds.
    const memory = createMemoryStore();
    const server = createManualServer();
    const instanceA = createInstance("one", { memory, send: server.send });
    const send = vi.fn(server.send);
    const instanceB = createInstance("two", {
      memory,
      send,
      others: () => [instanceA],
    });
    const first = instanceA.order("r1");
    await vi.advanceTimersByTimeAsync(1);
    const second = instanceB.order("r2");
    await vi.advanceTimersByTimeAsync(2_500);
    server.calls[0]?.(answer("order 1"));
    expect(summaryOf(await first)).toBe("answer order 1");
    expect(summaryOf(await second)).toBe("answer order 1");
    expect(send).not.toHaveBeenCalled();
  });

  it("fails with key_reused if its request differs from the first", async () => {
    const memory = createMemoryStore();
    const send = async () => answer("order 1");
    const instanceA = createInstance("one", { memory, send });
    await instanceA.order("r1");
    const result = await instanceA.order("r2", { body: "part 8" });
    expect(result).toMatchObject({ failure: { status: 422 } });
    expect(summaryOf(result)).toBe("failed key_reused");
  });

  it("does not match the same key of another organisation", async () => {
    // Two dealers' systems use ".." as a key. URL normalisation would resolve
    // it to the parent path, so both claims would be the same object and the
    // second dealer's first order would be refused as a reused key.
    const memory = createMemoryStore();
    const send = async () => answer("an order");
    const instanceA = createInstance("one", { memory, send });
    await instanceA.order("r1", { key: ".." });
    await instanceA.order("r2", { key: "..", organisation: "lagos" });
    await instanceA.settled();
    const keys = memory.objects().map(({ key }) => key);
    expect(keys).toHaveLength(2);
    for (const key of keys) {
      expect(new URL(`http://store/${key}`).pathname).toBe(`/${key}`);
    }
  });

  it("does not free the key of an owner that does not reply", async () => {
    // An instance is frozen between claim and sending. If another instance
    // freed the key, the order would run there, and again when the frozen
    // instance resumes.
    const memory = createMemoryStore();
    const server = createManualServer();
    const instanceA = createInstance("one", { memory, send: server.send });
    const send = vi.fn(async () => answer("a second run"));
    const instanceB = createInstance("two", { memory, send });
    void instanceA.order("r1");
    await vi.advanceTimersByTimeAsync(1);
    expect(summaryOf(await instanceB.order("r2"))).toBe(
      "outcome_unknown may_have_run",
    );
    expect(send).not.toHaveBeenCalled();
  });
});

describe("an uncertain claim write", () => {
  it("sends the call once if only the reply was lost", async () => {
    const memory = createMemoryStore();
    const send = vi.fn(async () => answer("order 1"));
    const instanceA = createInstance("one", { memory, send });
    instanceA.faults.loseReplies = 1;
    expect(summaryOf(await instanceA.order("r1"))).toBe("answer order 1");
    expect(send).toHaveBeenCalledTimes(1);
  });

  it("frees a claim that was stored although not_run was reported", async () => {
    // The store loses all replies, so the call is reported as not_run, but one
    // of the writes took effect. The caller retries with the same key and must
    // not be blocked by the claim of a call that was never sent.
    const memory = createMemoryStore();
    const send = async () => answer("order 1");
    const instanceA = createInstance("one", { memory, send });
    const instanceB = createInstance("two", {
      memory,
      send,
      others: () => [instanceA],
    });
    instanceA.faults.loseReplies = 3;
    expect(summaryOf(await instanceA.order("r1"))).toBe(
      "not_run claims_unavailable",
    );
    expect(memory.objects()).toHaveLength(1);
    expect(summaryOf(await instanceB.order("r2"))).toBe("answer order 1");
  });

  it("fails fast with not_run while the store is unreachable", async () => {
    const memory = createMemoryStore();
    const send = vi.fn(async () => answer("order 1"));
    const instanceA = createInstance("one", { memory, send });
    instanceA.faults.down = true;
    for (const id of ["r1", "r2", "r3"]) {
      const result = await instanceA.order(id);
      expect(summaryOf(result)).toBe("not_run claims_unavailable");
      expect(result).toMatchObject({ failure: { retryAfterSeconds: 1 } });
    }
    expect(memory.counts().write).toBe(2);
    instanceA.faults.down = false;
    await vi.advanceTimersByTimeAsync(1_000);
    expect(summaryOf(await instanceA.order("r4"))).toBe("answer order 1");
    expect(send).toHaveBeenCalledTimes(1);
  });
});

describe("an at-most-once call", () => {
  it("is not retried and stays unknown after a broken connection", async () => {
    const memory = createMemoryStore();
    const send = vi.fn(async () => broken);
    const instanceA = createInstance("one", { memory, send });
    expect(summaryOf(await instanceA.order("r1"))).toBe(
      "outcome_unknown may_have_run",
    );
    expect(summaryOf(await instanceA.order("r2"))).toBe(
      "outcome_unknown may_have_run",
    );
    expect(send).toHaveBeenCalledTimes(1);
  });

  it("gets its answer by look-up after the first owner crashed", async () => {
    // The instance crashes after the booking ran. The caller's retry finds the
    // claim of a process that no longer exists; the service has the booking.
    const memory = createMemoryStore();
    const server = createManualServer();
    const instanceA = createInstance("one", { memory, send: server.send });
    const send = vi.fn(async (request: ServiceRequest) =>
      request.path === "/orders/by-key/order-1"
        ? { ...answer("order 1"), ...found("order 1") }
        : answer("a second run"),
    );
    const instanceB = createInstance("two", { memory, send, lookup: true });
    void instanceA.order("r1");
    await vi.advanceTimersByTimeAsync(1);
    expect(summaryOf(await instanceB.order("r2"))).toBe("answer order 1");
    await instanceB.settled();
    expect(memory.objects()[0]?.value).toMatchObject({
      state: { kind: "answered" },
    });
  });

  it("stays unknown if a look-up finds nothing", async () => {
    // The call is buffered at a frozen server. The look-up goes to another
    // server and finds nothing; if that freed the key, the order would run
    // twice.
    const memory = createMemoryStore();
    const send = vi.fn(async (request: ServiceRequest) =>
      request.method === "GET"
        ? { ...answer(""), ...found("none", 404) }
        : broken,
    );
    const instanceA = createInstance("one", { memory, send, lookup: true });
    expect(summaryOf(await instanceA.order("r1"))).toBe(
      "outcome_unknown may_have_run",
    );
    expect(summaryOf(await instanceA.order("r2"))).toBe(
      "outcome_unknown may_have_run",
    );
    const posts = send.mock.calls.filter(([{ method }]) => method === "POST");
    expect(posts).toHaveLength(1);
  });

  it("frees its key if no server accepted it", async () => {
    const memory = createMemoryStore();
    const results = [notSent, notSent, answer("order 1")];
    const send = vi.fn(async () => results.shift() ?? broken);
    const instanceA = createInstance("one", { memory, send });
    expect(summaryOf(await instanceA.order("r1"))).toBe("not_run no_server");
    await instanceA.settled();
    expect(summaryOf(await instanceA.order("r2"))).toBe("answer order 1");
  });

  it("counts as possibly run if sending throws", async () => {
    // An unexpected error is thrown while the call is in flight. If the owner
    // reported `never_sent`, another instance would run the order again.
    const memory = createMemoryStore();
    const failing = () => Promise.reject(new Error("unforeseen"));
    const instanceA = createInstance("one", { memory, send: failing });
    const send = vi.fn(async () => answer("a second run"));
    const instanceB = createInstance("two", {
      memory,
      send,
      others: () => [instanceA],
    });
    await expect(instanceA.order("r1")).rejects.toThrow("unforeseen");
    expect(summaryOf(await instanceB.order("r2"))).toBe(
      "outcome_unknown may_have_run",
    );
    expect(send).not.toHaveBeenCalled();
  });

  it("has its result recorded after an outage that began meanwhile", async () => {
    const memory = createMemoryStore();
    const instanceA = createInstance("one", {
      memory,
      async send() {
        instanceA.faults.down = true;
        return answer("order 1");
      },
    });
    expect(summaryOf(await instanceA.order("r1"))).toBe("answer order 1");
    await vi.advanceTimersByTimeAsync(20_000);
    instanceA.faults.down = false;
    await vi.advanceTimersByTimeAsync(5_000);
    await instanceA.settled();
    const instanceB = createInstance("two", {
      memory,
      send: async () => broken,
    });
    expect(summaryOf(await instanceB.order("r2"))).toBe("answer order 1");
  });

  it("does not overwrite the result of a later call with its key", async () => {
    // The owner releases a claim, another instance takes it over and runs the
    // order, and only then does the owner's write arrive. If it overwrote the
    // newer record, a third call would run the order again.
    const memory = createMemoryStore();
    const instanceA = createInstance("one", {
      memory,
      send: async () => notSent,
    });
    const send = vi.fn(async () => answer("order 1"));
    const instanceB = createInstance("two", {
      memory,
      send,
      others: () => [instanceA],
    });
    instanceA.faults.delayMs = 100;
    const first = instanceA.order("r1");
    await vi.advanceTimersByTimeAsync(150);
    expect(summaryOf(await first)).toBe("not_run no_server");
    expect(summaryOf(await instanceB.order("r2"))).toBe("answer order 1");
    await vi.advanceTimersByTimeAsync(1_000);
    await Promise.all([instanceA.settled(), instanceB.settled()]);
    expect(summaryOf(await instanceB.order("r3"))).toBe("answer order 1");
    expect(send).toHaveBeenCalledTimes(1);
  });

  it("is not sent if a recall arrives while its claim is written", async () => {
    const memory = createMemoryStore();
    const send = vi.fn(async () => answer("order 1"));
    const instanceA = createInstance("one", { memory, send });
    instanceA.faults.delayMs = 100;
    const first = instanceA.order("r1");
    instanceA.withdraw();
    await vi.advanceTimersByTimeAsync(100);
    expect(summaryOf(await first)).toBe("failed unknown_service");
    expect(send).not.toHaveBeenCalled();
  });
});

describe("an answer whose end is unknown", () => {
  it("doesn't become whole in a record of the version before", async () => {
    const memory = createMemoryStore();
    const send = vi.fn(async () => answer("order 1"));
    const instanceA = createInstance("one", { memory, send });
    await instanceA.order("r1");
    await instanceA.settled();
    const [recorded] = memory.objects();
    const value = claimObjectSchema.parse(recorded?.value);
    const { isDelimited: _, ...state } = { isDelimited: true, ...value.state };
    await memory
      .client()
      .store.write(
        recorded?.key ?? "",
        { ...value, state },
        { expectedVersion: recorded?.version ?? null },
      );
    const instanceB = createInstance("two", { memory, send });
    expect(await instanceB.order("r2")).toMatchObject({
      answer: { isDelimited: false },
      repeated: true,
    });
    expect(send).toHaveBeenCalledTimes(1);
  });
});

describe("an idempotency key with a creation time", () => {
  const DAY_MS = 86_400_000;
  const keyCreatedNow = () => {
    const time = Date.now().toString(16).padStart(12, "0");
    return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-000000000001`;
  };

  it("is refused with key_expired when it is older than a day", async () => {
    // Claims of old keys are removed. Without the check, a dealer's system
    // that retries an order from its backlog after two days would place it
    // twice.
    const memory = createMemoryStore();
    const send = vi.fn(async () => answer("order 1"));
    const instanceA = createInstance("one", { memory, send });
    const key = keyCreatedNow();
    expect(summaryOf(await instanceA.order("r1", { key }))).toBe(
      "answer order 1",
    );
    vi.setSystemTime(Date.now() + DAY_MS + 1);
    const result = await instanceA.order("r2", { key });
    expect(summaryOf(result)).toBe("outcome_unknown key_expired");
    expect(send).toHaveBeenCalledTimes(1);
  });

  it("is checked again after the claim, in case of a freeze", async () => {
    // The instance is frozen for days after its first check of the key. In the
    // meantime the claim of an earlier run is removed, so the key seems unused.
    const memory = createMemoryStore();
    const send = vi.fn(async () => answer("order 1"));
    const instanceA = createInstance("one", { memory, send });
    instanceA.faults.delayMs = 100;
    const first = instanceA.order("r1", { key: keyCreatedNow() });
    vi.setSystemTime(Date.now() + 3 * DAY_MS);
    await vi.advanceTimersByTimeAsync(100);
    expect(summaryOf(await first)).toBe("outcome_unknown key_expired");
    expect(send).not.toHaveBeenCalled();
  });
});

describe("an idempotent call", () => {
  it("is retried on other servers only within the retry budget", async () => {
    // All servers of a service fail. Retrying each call would double the load
    // on them; the budget allows ten retries and then one per ten calls.
    const memory = createMemoryStore();
    const send = vi.fn(async () => broken);
    const instanceA = createInstance("one", { memory, send });
    for (let call = 0; call < 100; call++) {
      expect(summaryOf(await instanceA.readStock())).toBe("failed no_answer");
    }
    expect(send.mock.calls.length).toBeLessThanOrEqual(100 + 10 + 10);
    expect(send.mock.calls.length).toBeGreaterThan(100);
  });

  it("ends as not_run if no server can be reached", async () => {
    const memory = createMemoryStore();
    const instanceA = createInstance("one", {
      memory,
      send: async () => notSent,
    });
    expect(summaryOf(await instanceA.readStock())).toBe("not_run no_server");
  });
});

function found(text: string, status = 200) {
  const body = Buffer.from(text);
  const contentType = "text/plain";
  return { answer: { status, contentType, body, isDelimited: true } };
}
