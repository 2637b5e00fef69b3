import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { failureBodySchema } from "@rosemarypin/schemas";
import { request } from "undici";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { startCallerServer } from "../caller_server.ts";
import {
  fakeCallerParts,
  fakeSettings,
  goodKey,
  limitedKey,
} from "./fake_parts.ts";

let server: Server;
let url = "";
let called = 0;

beforeAll(async () => {
  const parts = fakeCallerParts(fakeSettings());
  const callService: typeof parts.callService = () => {
    called += 1;
    return parts.callService();
  };
  ({ server } = await startCallerServer({ ...parts, callService }));
  url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterAll(() => {
  server.closeAllConnections();
  server.close();
});

async function order(key: string) {
  const response = await request(`${url}/services/bookings/orders`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${key}`,
      "idempotency-key": `order-${Math.random()}`,
    },
    body: "{}",
  });
  const body = await response.body.json();
  return { status: response.statusCode, headers: response.headers, body };
}

describe("an organisation beyond its limit", () => {
  it("is refused as not run, with when to come back", async () => {
    // One organisation's program loops and places orders without end. It is
    // told to slow down; what it was refused did not run, and others go on.
    let refused = await order(limitedKey);
    for (let many = 0; refused.status !== 429 && many < 20_000; many++) {
      refused = await order(limitedKey);
    }
    const before = called;
    expect(refused.status).toBe(429);
    expect(Number(refused.headers["retry-after"])).toBeGreaterThanOrEqual(1);
    const { error } = failureBodySchema.parse(refused.body);
    expect(error).toMatchObject({ outcome: "not_run", code: "limit_reached" });
    expect((await order(goodKey)).status).toBe(201);
    expect(called).toBe(before + 1);
  });
});
