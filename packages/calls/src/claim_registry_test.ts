import { describe, expect, it } from "vitest";
import { createClaimRegistry } from "./claim_registry.ts";

const MEGABYTE = 1024 * 1024;

function answered(bytes: number) {
  const body = "x".repeat(bytes);
  const answer = { status: 200, contentType: "x", body, isDelimited: true };
  return { kind: "answered", ...answer } as const;
}

describe("claim registry", () => {
  it("evicts the oldest answers before they fill the heap", async () => {
    const registry = createClaimRegistry({ incarnation: 1 });
    registry.begin("runs");
    for (let count = 0; count < 20; count++) {
      registry.begin(`r${count}`);
      registry.settle(`r${count}`, answered(MEGABYTE));
    }
    const ask = async (requestId: string) => {
      const question = { requestId, incarnation: 1, waitMs: 0 };
      return (await registry.ask(question)).kind;
    };
    expect(await ask("r0")).toBe("forgotten");
    expect(await ask("r12")).toBe("settled");
    expect(await ask("r19")).toBe("settled");
    expect(await ask("runs")).toBe("running");
  });

  it("reports a claim of an earlier process as forgotten", async () => {
    const registry = createClaimRegistry({ incarnation: 2 });
    registry.begin("r1");
    registry.settleNeverSent("r1");
    const question = { requestId: "r1", incarnation: 1, waitMs: 0 };
    expect(await registry.ask(question)).toEqual({ kind: "forgotten" });
  });
});
