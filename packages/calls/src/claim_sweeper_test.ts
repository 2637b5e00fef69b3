import { createMemoryStore } from "@rosemarypin/fakes";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createClaimSweeper } from "./claim_sweeper.ts";
import { createObjectClaimStore } from "./object_claim_store.ts";

const HOUR_MS = 3_600_000;

function keyCreatedAt(time: number): string {
  const hex = time.toString(16).padStart(12, "0");
  return `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-000000000001`;
}

beforeEach(() => void vi.useFakeTimers({ now: 1_800_000_000_000 }));
afterEach(() => void vi.useRealTimers());

describe("claim sweeper", () => {
  it("removes claims hours after keys expire and keeps undated ones", async () => {
    // Without removal, claims would fill the platform's store. A claim is
    // removed only when every instance refuses its key, with up to two hours
    // of clock skew. The age of an undated key is unknown, so it is kept.
    const memory = createMemoryStore();
    const { store } = memory.client();
    const claims = createObjectClaimStore({
      deployment: "test",
      owner: "one",
      incarnation: 1,
      store,
    });
    const claim = (idempotencyKey: string) =>
      claims.claim({
        service: "dealer-app",
        organisation: "kano",
        idempotencyKey,
        requestId: idempotencyKey,
        fingerprint: "f",
      });
    await claim(keyCreatedAt(Date.now()));
    await claim("undated");
    const sweeper = createClaimSweeper({
      deployment: "test",
      services: ["dealer-app"],
      store,
      instances: () => 4,
      random: () => 1,
    });
    const sweep = async () => {
      const swept = sweeper.sweep();
      await vi.advanceTimersByTimeAsync(1_000);
      return swept;
    };
    vi.setSystemTime(Date.now() + 25 * HOUR_MS);
    expect(await sweep()).toBe(0);
    vi.setSystemTime(Date.now() + 3 * HOUR_MS);
    expect(await sweep()).toBe(1);
    sweeper.stop();
    expect(memory.objects().map(({ key }) => key.split("/")[3])).toEqual([
      "undated",
    ]);
  });
});
