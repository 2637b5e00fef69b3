import { createMemoryStore } from "@rosemarypin/fakes";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createClaimSweeper } from "./claim_sweeper.ts";
import { createRecordClaims } from "./object_claim_store.ts";

const HOUR_MS = 3_600_000;

function keyMadeAt(time: number): string {
  const hex = time.toString(16).padStart(12, "0");
  return `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-000000000001`;
}

beforeEach(() => void vi.useFakeTimers({ now: 1_800_000_000_000 }));
afterEach(() => void vi.useRealTimers());

describe("claims of expired keys", () => {
  it("are removed hours after keys expire; undated ones stay", async () => {
    // Claims would fill the platform's store. They go only once no instance,
    // whatever its clock within two hours, takes their keys any more; a key
    // that does not say its age is never removed.
    const memory = createMemoryStore();
    const { store } = memory.client();
    const claims = createRecordClaims({
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
    await claim(keyMadeAt(Date.now()));
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
