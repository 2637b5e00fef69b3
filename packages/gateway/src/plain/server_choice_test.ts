import { describe, expect, it } from "vitest";
import type { BackendServer } from "../backend_server.ts";
import type { BackendFleet } from "../backends/mod.ts";
import { createServerChoice } from "./server_choice.ts";

function server(id: string, failureDomain: string, leaving = false) {
  return { id, service: "s", failureDomain, leaving } as BackendServer;
}

function setUp(servers: BackendServer[], suspected: readonly string[] = []) {
  const fleet = {
    ofService: () => [...servers],
    isUsable: ({ id, leaving }: BackendServer) =>
      !leaving && !suspected.includes(id),
  } as unknown as BackendFleet;
  return createServerChoice({ fleet, failureDomain: "a" });
}

const none = new Set<string>();

describe("the choice of a server", () => {
  it("prefers its own domain, and spreads over all as calls add up", () => {
    const choice = setUp([server("x", "a"), server("y", "b")]);
    const chosen = Array.from({ length: 4 }, () => {
      const { id = "" } = choice.choose("s", none) ?? {};
      choice.began(id);
      return id;
    });
    expect(chosen).toEqual(["x", "y", "x", "y"]);
  });

  it("gives a leaving server nothing, even when it is the only one", () => {
    const choice = setUp([server("x", "a", true)]);
    expect(choice.choose("s", none)).toBeNull();
  });

  it("goes to a suspected server only when there is no other", () => {
    const both = setUp([server("x", "a"), server("y", "b")], ["x"]);
    expect(both.choose("s", none)?.id).toBe("y");
    const alone = setUp([server("x", "a")], ["x"]);
    expect(alone.choose("s", none)?.id).toBe("x");
  });

  it("turns away from a server that fails while its health is good", () => {
    const choice = setUp([server("x", "a"), server("y", "b")]);
    for (let call = 0; call < 3; call += 1) {
      choice.began("x");
      choice.ended("x", { tookMs: 2, ok: false });
    }
    expect(choice.choose("s", none)?.id).toBe("y");
  });
});
