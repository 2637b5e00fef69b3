import type {
  ServiceFleet,
  ServiceRequest,
  ServiceResult,
} from "@rosemarypin/backends";
import { createMemoryStore, type MemoryStore } from "@rosemarypin/fakes";
import {
  emptyCatalogue,
  type NoteRecord,
  type ServiceSettings,
} from "@rosemarypin/schemas";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createClaimRegistry } from "./claim_registry.ts";
import { createRecordClaims } from "./object_claim_store.ts";
import { createEndRecorder } from "./result_recorder.ts";
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
  const whole = { status: 201, contentType, body };
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
  const claims = createRecordClaims({
    deployment: "test",
    owner: id,
    incarnation: 1,
    store,
  });
  const ends = createEndRecorder({ claims });
  const fleet: ServiceFleet = {
    choose: (servers) => servers,
    send: (_server, request) => options.send(request),
    takeList: () => {},
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
        const target = all.find((other) => other.id === owner);
        if (!target) return { kind: "gone" };
        return target.registry.ask({ requestId, incarnation, waitMs });
      },
    },
    failureDomain: "a",
    ends,
  });
  const instance = {
    id,
    faults,
    registry,
    withdraw() {
      current = { ...note, number: 2, catalogue: emptyCatalogue };
    },
    ends,
    settled: () => ends.finish(600_000),
    order(requestId: string, order: Partial<typeof anOrder> = {}) {
      const { key, body, organisation } = { ...anOrder, ...order };
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

const anOrder = { key: "order-1", body: "part 7", organisation: "kano" };

function told(result: ServiceCallResult): string {
  return result.kind === "answer"
    ? `answer ${result.answer.body}`
    : `${result.failure.outcome} ${result.failure.code}`;
}

/** A server that answers each call when the test lets it. */
function createHeldServer() {
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

describe("one key on two instances", () => {
  it("gives the second caller the first answer, though it runs", async () => {
    // A mechanic's order takes long, the connection breaks, and the dealer's
    // system sends it again to another instance while the first still runs.
    // The second caller was told outcome_unknown and rang the depot for
    // nothing. It now waits for the owner's word.
    const memory = createMemoryStore();
    const server = createHeldServer();
    const one = createInstance("one", { memory, send: server.send });
    const send = vi.fn(server.send);
    const two = createInstance("two", { memory, send, others: () => [one] });
    const first = one.order("r1");
    await vi.advanceTimersByTimeAsync(1);
    const second = two.order("r2");
    await vi.advanceTimersByTimeAsync(2_500);
    server.calls[0]?.(answer("order 1"));
    expect(told(await first)).toBe("answer order 1");
    expect(told(await second)).toBe("answer order 1");
    expect(send).not.toHaveBeenCalled();
  });

  it("refuses a key that was used for another order", async () => {
    const memory = createMemoryStore();
    const send = async () => answer("order 1");
    const one = createInstance("one", { memory, send });
    await one.order("r1");
    const result = await one.order("r2", { body: "part 8" });
    expect(result).toMatchObject({ failure: { status: 422 } });
    expect(told(result)).toBe("failed key_reused");
  });

  it("keeps keys of two organisations apart, whatever they are", async () => {
    // Two dealers' systems both used ".." as a key. In the store's URL it
    // was taken as a step up, both met in one object, and the second dealer
    // was told that its first order had been placed by someone else's key.
    const memory = createMemoryStore();
    const send = async () => answer("an order");
    const one = createInstance("one", { memory, send });
    await one.order("r1", { key: ".." });
    await one.order("r2", { key: "..", organisation: "lagos" });
    await one.settled();
    const keys = memory.objects().map(({ key }) => key);
    expect(keys).toHaveLength(2);
    for (const key of keys) {
      expect(new URL(`http://store/${key}`).pathname).toBe(`/${key}`);
    }
  });

  it("does not free a key while its owner is silent", async () => {
    // An instance is frozen between claim and sending. Were its key freed
    // meanwhile, the order would run there and, once the instance goes on,
    // here as well.
    const memory = createMemoryStore();
    const server = createHeldServer();
    const one = createInstance("one", { memory, send: server.send });
    const send = vi.fn(async () => answer("a second run"));
    const two = createInstance("two", { memory, send });
    void one.order("r1");
    await vi.advanceTimersByTimeAsync(1);
    expect(told(await two.order("r2"))).toBe("outcome_unknown may_have_run");
    expect(send).not.toHaveBeenCalled();
  });
});

describe("a claim whose write is in doubt", () => {
  it("sends once when the reply was lost after the write", async () => {
    const memory = createMemoryStore();
    const send = vi.fn(async () => answer("order 1"));
    const one = createInstance("one", { memory, send });
    one.faults.loseReplies = 1;
    expect(told(await one.order("r1"))).toBe("answer order 1");
    expect(send).toHaveBeenCalledTimes(1);
  });

  it("frees a claim that turns up after not_run was told", async () => {
    // The store loses all replies, so the caller is told not_run; but one of
    // the writes had its effect. The caller asks again with the same key, as
    // it was told to, and met a claim that nobody would ever end.
    const memory = createMemoryStore();
    const send = async () => answer("order 1");
    const one = createInstance("one", { memory, send });
    const two = createInstance("two", { memory, send, others: () => [one] });
    one.faults.loseReplies = 3;
    expect(told(await one.order("r1"))).toBe("not_run claims_unavailable");
    expect(memory.objects()).toHaveLength(1);
    expect(told(await two.order("r2"))).toBe("answer order 1");
  });

  it("refuses at once, as not run, while the store is away", async () => {
    const memory = createMemoryStore();
    const send = vi.fn(async () => answer("order 1"));
    const one = createInstance("one", { memory, send });
    one.faults.down = true;
    for (const id of ["r1", "r2", "r3"]) {
      const result = await one.order(id);
      expect(told(result)).toBe("not_run claims_unavailable");
      expect(result).toMatchObject({ failure: { retryAfterSeconds: 1 } });
    }
    expect(memory.counts().write).toBe(2);
    one.faults.down = false;
    await vi.advanceTimersByTimeAsync(1_000);
    expect(told(await one.order("r4"))).toBe("answer order 1");
    expect(send).toHaveBeenCalledTimes(1);
  });
});

describe("the end of a call", () => {
  it("stays unknown when the call broke, and is not sent again", async () => {
    const memory = createMemoryStore();
    const send = vi.fn(async () => broken);
    const one = createInstance("one", { memory, send });
    expect(told(await one.order("r1"))).toBe("outcome_unknown may_have_run");
    expect(told(await one.order("r2"))).toBe("outcome_unknown may_have_run");
    expect(send).toHaveBeenCalledTimes(1);
  });

  it("is found by look-up after its owner crashed", async () => {
    // The instance dies after the booking ran. The caller's next try meets
    // the claim of a process that is no more; the service knows the booking.
    const memory = createMemoryStore();
    const server = createHeldServer();
    const one = createInstance("one", { memory, send: server.send });
    const send = vi.fn(async (request: ServiceRequest) =>
      request.path === "/orders/by-key/order-1"
        ? { ...answer("order 1"), ...found("order 1") }
        : answer("a second run"),
    );
    const two = createInstance("two", { memory, send, lookup: true });
    void one.order("r1");
    await vi.advanceTimersByTimeAsync(1);
    expect(told(await two.order("r2"))).toBe("answer order 1");
    await two.settled();
    expect(memory.objects()[0]?.value).toMatchObject({
      state: { kind: "answered" },
    });
  });

  it("is not decided by a look-up that finds nothing", async () => {
    // The call's bytes wait in a frozen server. The look-up, answered by
    // another server, finds nothing; were the key freed, both would run.
    const memory = createMemoryStore();
    const send = vi.fn(async (request: ServiceRequest) =>
      request.method === "GET"
        ? { ...answer(""), ...found("none", 404) }
        : broken,
    );
    const one = createInstance("one", { memory, send, lookup: true });
    expect(told(await one.order("r1"))).toBe("outcome_unknown may_have_run");
    expect(told(await one.order("r2"))).toBe("outcome_unknown may_have_run");
    const posts = send.mock.calls.filter(([{ method }]) => method === "POST");
    expect(posts).toHaveLength(1);
  });

  it("frees the key when no server took the call", async () => {
    const memory = createMemoryStore();
    const results = [notSent, notSent, answer("order 1")];
    const send = vi.fn(async () => results.shift() ?? broken);
    const one = createInstance("one", { memory, send });
    expect(told(await one.order("r1"))).toBe("not_run no_server");
    await one.settled();
    expect(told(await one.order("r2"))).toBe("answer order 1");
  });

  it("counts as unknown when sending fails in an unforeseen way", async () => {
    // A fault of ours is thrown while the call is out. The owner's word must
    // not be 'never sent': another instance would run the order again.
    const memory = createMemoryStore();
    const failing = () => Promise.reject(new Error("unforeseen"));
    const one = createInstance("one", { memory, send: failing });
    const send = vi.fn(async () => answer("a second run"));
    const two = createInstance("two", { memory, send, others: () => [one] });
    await expect(one.order("r1")).rejects.toThrow("unforeseen");
    expect(told(await two.order("r2"))).toBe("outcome_unknown may_have_run");
    expect(send).not.toHaveBeenCalled();
  });

  it("is recorded after an outage that began while it ran", async () => {
    const memory = createMemoryStore();
    const one = createInstance("one", {
      memory,
      async send() {
        one.faults.down = true;
        return answer("order 1");
      },
    });
    expect(told(await one.order("r1"))).toBe("answer order 1");
    await vi.advanceTimersByTimeAsync(20_000);
    one.faults.down = false;
    await vi.advanceTimersByTimeAsync(5_000);
    await one.settled();
    const two = createInstance("two", { memory, send: async () => broken });
    expect(told(await two.order("r2"))).toBe("answer order 1");
  });

  it("does not overwrite what became of the key since", async () => {
    // The owner released a claim, another instance took the key over and ran
    // the order, and only then did the owner's record arrive. Had it been
    // written over the newer one, a third caller would have run it again.
    const memory = createMemoryStore();
    const one = createInstance("one", { memory, send: async () => notSent });
    const send = vi.fn(async () => answer("order 1"));
    const two = createInstance("two", { memory, send, others: () => [one] });
    one.faults.delayMs = 100;
    const first = one.order("r1");
    await vi.advanceTimersByTimeAsync(150);
    expect(told(await first)).toBe("not_run no_server");
    expect(told(await two.order("r2"))).toBe("answer order 1");
    await vi.advanceTimersByTimeAsync(1_000);
    await Promise.all([one.settled(), two.settled()]);
    expect(told(await two.order("r3"))).toBe("answer order 1");
    expect(send).toHaveBeenCalledTimes(1);
  });

  it("is not begun when a recall came while the claim was written", async () => {
    const memory = createMemoryStore();
    const send = vi.fn(async () => answer("order 1"));
    const one = createInstance("one", { memory, send });
    one.faults.delayMs = 100;
    const first = one.order("r1");
    one.withdraw();
    await vi.advanceTimersByTimeAsync(100);
    expect(told(await first)).toBe("failed unknown_service");
    expect(send).not.toHaveBeenCalled();
  });
});

describe("keys that carry their time", () => {
  const DAY_MS = 86_400_000;
  const madeNow = () => {
    const time = Date.now().toString(16).padStart(12, "0");
    return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-000000000001`;
  };

  it("refuses an expired key, and says that it may have run", async () => {
    // Claims of old keys are removed. A dealer's system that repeats an order
    // from its backlog after two days would otherwise place it again.
    const memory = createMemoryStore();
    const send = vi.fn(async () => answer("order 1"));
    const one = createInstance("one", { memory, send });
    const key = madeNow();
    expect(told(await one.order("r1", { key }))).toBe("answer order 1");
    vi.setSystemTime(Date.now() + DAY_MS + 1);
    const result = await one.order("r2", { key });
    expect(told(result)).toBe("outcome_unknown key_expired");
    expect(send).toHaveBeenCalledTimes(1);
  });

  it("looks again after the claim, for a freeze in between", async () => {
    // The instance is frozen for days after it found the key good. By then
    // the claim of an earlier run is removed, and the key looks unused.
    const memory = createMemoryStore();
    const send = vi.fn(async () => answer("order 1"));
    const one = createInstance("one", { memory, send });
    one.faults.delayMs = 100;
    const first = one.order("r1", { key: madeNow() });
    vi.setSystemTime(Date.now() + 3 * DAY_MS);
    await vi.advanceTimersByTimeAsync(100);
    expect(told(await first)).toBe("outcome_unknown key_expired");
    expect(send).not.toHaveBeenCalled();
  });
});

describe("an idempotent call", () => {
  it("tries other servers only within the retry budget", async () => {
    // All servers of a service fail. With a retry for each, the load on them
    // doubled just then; the budget allows ten and then one in ten calls.
    const memory = createMemoryStore();
    const send = vi.fn(async () => broken);
    const one = createInstance("one", { memory, send });
    for (let call = 0; call < 100; call++) {
      expect(told(await one.readStock())).toBe("failed no_answer");
    }
    expect(send.mock.calls.length).toBeLessThanOrEqual(100 + 10 + 10);
    expect(send.mock.calls.length).toBeGreaterThan(100);
  });

  it("was not run when no server could be reached", async () => {
    const memory = createMemoryStore();
    const one = createInstance("one", { memory, send: async () => notSent });
    expect(told(await one.readStock())).toBe("not_run no_server");
  });
});

function found(text: string, status = 200) {
  const body = Buffer.from(text);
  return { answer: { status, contentType: "text/plain", body } };
}
