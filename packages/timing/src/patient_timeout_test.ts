import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { withPatientTimeout } from "./patient_timeout.ts";

const TIMEOUT_MS = 100;

let server: Server;
let delayMs = 0;

beforeEach(async () => {
  server = createServer((_, response) => {
    setTimeout(() => response.end("done"), delayMs);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
});
afterEach(() => {
  server.closeAllConnections();
  server.close();
});

/** Calls the server; resolves to its answer or to the name of the error. */
function callServer(): Promise<string> {
  const { port } = server.address() as AddressInfo;
  return withPatientTimeout({ timeoutMs: TIMEOUT_MS }, async (signal) => {
    const response = await fetch(`http://127.0.0.1:${port}`, { signal });
    return response.text();
  }).catch((error: Error) => error.name);
}

function block(durationMs: number): void {
  const endsAt = performance.now() + durationMs;
  while (performance.now() < endsAt);
}

describe("a patient timeout", () => {
  it("ends a call that isn't answered in time", async () => {
    delayMs = 1_000;
    const startedAt = performance.now();
    expect(await callServer()).toBe("TimeoutError");
    expect(performance.now() - startedAt).toBeLessThan(delayMs);
  });

  // Guards against a process that takes its own lag for the silence of others.
  it("leaves out the time in which the process was blocked", async () => {
    delayMs = 0;
    const call = callServer();
    for (let turn = 0; turn < 6; turn += 1) {
      block(TIMEOUT_MS / 2);
      await nextTurn();
    }
    expect(await call).toBe("done");
  });

  it("ends at once with the signal of the call", async () => {
    const leaving = new AbortController();
    const reason = withPatientTimeout(
      { timeoutMs: TIMEOUT_MS, signal: leaving.signal },
      (signal) =>
        new Promise((resolve) => {
          signal.addEventListener("abort", () => resolve(signal.reason));
        }),
    );
    leaving.abort("left");
    expect(await reason).toBe("left");
  });

  it("is bounded, however late the process is", async () => {
    delayMs = 60_000;
    const call = callServer();
    let isOver = false;
    void call.then(() => {
      isOver = true;
    });
    const startedAt = performance.now();
    while (!isOver) {
      block(TIMEOUT_MS);
      await nextTurn();
    }
    expect(performance.now() - startedAt).toBeLessThan(20 * TIMEOUT_MS);
  });
});
