import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createCrashLedger, type PromptPart } from "./crash_ledger.ts";

const SERVICE = "model";

beforeEach(() => {
  vi.useFakeTimers();
  vi.advanceTimersByTime(100_000);
});
afterEach(() => {
  vi.useRealTimers();
});

function setUp() {
  const quarantined = new Set<string>();
  const ledger = createCrashLedger({
    isQuarantined: ({ part }: PromptPart) => quarantined.has(part),
  });
  let engines = 0;
  return {
    ledger,
    quarantined,
    /** An engine ends under prompts, each with its parts in one text. */
    end(...prompts: string[]) {
      engines += 1;
      ledger.recordEnd({
        service: SERVICE,
        engine: `e-${engines}`,
        at: performance.now(),
        prompts: prompts.map((parts) => parts.split(" ")),
      });
    },
    /** Answers to prompts with the parts begin now. */
    answer(...parts: string[]) {
      const begunAt = performance.now();
      ledger.recordAnswer({ service: SERVICE, parts, begunAt });
    },
    wait: (ms = 1_000) => vi.advanceTimersByTime(ms),
    blamed: () => ledger.blame(SERVICE).map(({ part }) => part),
    isSuspect: (...parts: string[]) => ledger.isSuspect(SERVICE, parts),
  };
}

describe("a part of prompts", () => {
  it("is to blame after three ends under it", () => {
    const { end, wait, blamed } = setUp();
    end("common bad");
    wait();
    end("common bad", "other");
    expect(blamed()).toEqual([]);
    wait();
    end("common bad", "third");
    expect(blamed()).toEqual(["bad"]);
  });

  it("that begins prompts is to blame if they differ otherwise", () => {
    const { end, wait, blamed } = setUp();
    for (const other of ["a", "b", "c"]) {
      end(`bad ${other}`);
      wait();
    }
    expect(blamed()).toEqual(["bad"]);
  });

  it("that other prompts have as well is not to blame once one is answered", () => {
    const { end, answer, wait, blamed } = setUp();
    end("bad common");
    wait();
    end("bad common");
    wait();
    answer("common");
    end("bad common");
    expect(blamed()).toEqual(["bad"]);
  });

  // Guards against blame for a part that had always been answered, because
  // requests with it were on the same engines.
  it("that was answered before is not to blame beside one that never was", () => {
    const { end, answer, wait, blamed } = setUp();
    answer("sound");
    for (let engine = 0; engine < 3; engine += 1) {
      wait();
      end("common bad", "common sound");
    }
    expect(blamed()).toEqual(["bad"]);
  });

  // Guards against blame for a part of many prompts that an engine had ended
  // under once more, for another reason.
  it("is to blame rather than a general one with an end of its own", () => {
    const { end, wait, blamed } = setUp();
    end("common sound");
    for (let engine = 0; engine < 3; engine += 1) {
      wait();
      end("common bad");
    }
    expect(blamed()).toEqual(["bad"]);
  });

  it("that is general is to blame once three ends lack the specific one", () => {
    const { end, wait, blamed } = setUp();
    for (const other of ["a", "b", "often", "often", "c"]) {
      end(`bad ${other}`);
      wait();
    }
    expect(blamed()).toEqual(["bad"]);
  });

  it("that was answered before is to blame if all others have fewer ends", () => {
    const { end, answer, wait, blamed } = setUp();
    answer("bad");
    answer("sound");
    wait();
    end("bad", "sound");
    wait();
    end("bad", "sound");
    wait();
    end("bad");
    expect(blamed()).toEqual(["bad"]);
  });

  // Guards against blame by an answer that had begun before the part was bad.
  it("is not cleared by an answer that began before the ends", () => {
    const { ledger, end, wait, blamed } = setUp();
    const begunAt = performance.now();
    for (let engine = 0; engine < 3; engine += 1) {
      wait();
      end("bad");
    }
    ledger.recordAnswer({ service: SERVICE, parts: ["bad"], begunAt });
    expect(blamed()).toEqual(["bad"]);
  });

  it("of another service is not to blame", () => {
    const { ledger, end, wait } = setUp();
    for (let engine = 0; engine < 3; engine += 1) {
      end("bad");
      wait();
    }
    expect(ledger.blame("other")).toEqual([]);
  });
});

describe("no part is to blame", () => {
  // Guards against blame for the requests of a rack whose engines end at once.
  it("for engines that end at the same time", () => {
    const { end, wait, blamed } = setUp();
    for (let engine = 0; engine < 8; engine += 1) {
      end("common bad");
      wait(20);
    }
    expect(blamed()).toEqual([]);
  });

  it("for two racks that end one after the other", () => {
    const { end, wait, blamed } = setUp();
    for (const pauseMs of [20, 2_000, 20, 0]) {
      end("common bad");
      wait(pauseMs);
    }
    expect(blamed()).toEqual([]);
  });

  // Guards against blame while engines restart one after the other.
  it("for engines that restart in turn while others answer", () => {
    const { end, answer, wait, blamed } = setUp();
    for (let engine = 0; engine < 12; engine += 1) {
      end("common often", `common rare-${engine}`);
      wait(400);
      answer("common", "often");
    }
    expect(blamed()).toEqual([]);
  });

  it("for ends of more than five minutes ago", () => {
    const { end, wait, blamed } = setUp();
    end("bad");
    end("bad");
    wait(300_001);
    end("bad");
    expect(blamed()).toEqual([]);
  });

  it("for engines that end without prompts", () => {
    const { ledger, wait, blamed } = setUp();
    for (let engine = 0; engine < 5; engine += 1) {
      const at = performance.now();
      const end = { service: SERVICE, engine: `e-${engine}`, at, prompts: [] };
      ledger.recordEnd(end);
      wait();
    }
    expect(blamed()).toEqual([]);
  });

  it("while two can't be told apart", () => {
    const { end, wait, blamed } = setUp();
    for (let engine = 0; engine < 4; engine += 1) {
      end("common one", "common two");
      wait();
    }
    expect(blamed()).toEqual([]);
    end("common one");
    expect(blamed()).toEqual(["one"]);
  });

  it("for ends that one in quarantine explains", () => {
    const { end, wait, quarantined, blamed } = setUp();
    quarantined.add("bad");
    for (let engine = 0; engine < 6; engine += 1) {
      end("common bad", "common sound");
      wait();
    }
    expect(blamed()).toEqual([]);
  });
});

it("two parts are to blame together after five ends", () => {
  const { end, wait, blamed } = setUp();
  for (let engine = 0; engine < 5; engine += 1) {
    end("common one", "common two");
    wait();
  }
  expect(blamed()).toEqual(["one", "two"]);
});

it("an end that several instances report counts once", () => {
  const { ledger, blamed } = setUp();
  for (let report = 0; report < 5; report += 1) {
    vi.advanceTimersByTime(1_000);
    const at = performance.now();
    const prompts = [["common", "bad"]];
    ledger.recordEnd({ service: SERVICE, engine: "e-1", at, prompts });
  }
  expect(blamed()).toEqual([]);
});

it("a prompt is not repeated after two ends under one of its parts", () => {
  const { end, wait, isSuspect } = setUp();
  end("common bad");
  expect(isSuspect("common", "bad")).toBe(false);
  wait();
  end("common bad");
  expect(isSuspect("common", "bad")).toBe(true);
  expect(isSuspect("common", "sound")).toBe(false);
});

// Guards against memory that grows with the parts that callers name.
it("keeps a bounded number of ends and of parts", () => {
  const { ledger, answer, end, wait, blamed } = setUp();
  for (let part = 0; part < 5_000; part += 1) answer(`part-${part}`);
  expect(ledger.answeredAt({ service: SERVICE, part: "part-0" })).toBe(
    -Infinity,
  );
  for (let engine = 0; engine < 3; engine += 1) {
    end("bad");
    wait();
  }
  for (let engine = 0; engine < 62; engine += 1) end(`other-${engine}`);
  expect(blamed()).toEqual([]);
});
