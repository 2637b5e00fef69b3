/** What a connection of its own costs a call that must not be repeated. */
import { createServiceClient } from "@rosemarypin/backends";
import { startPlainService } from "@rosemarypin/stand_ins";
import { build } from "hdr-histogram-js";
import { freePort } from "./free_port.ts";

const CALLS = 1_000;
const MICROSECONDS = 1_000;

/** Sends calls one after the other, over kept and over fresh connections. */
export async function measureConnections(): Promise<void> {
  const address = { host: "127.0.0.1", port: await freePort() };
  const server = await startPlainService({ ...address, id: "bench" });
  const client = createServiceClient();
  for (const freshConnection of [false, true, false, true]) {
    const latency = build();
    for (let count = 0; count < CALLS; count++) {
      const startedAt = performance.now();
      await client.send(
        address,
        {
          method: "POST",
          path: "/orders",
          headers: { "content-type": "application/json" },
          body: Buffer.from('{"part":"belt-22"}'),
        },
        { timeoutMs: 5_000, freshConnection },
      );
      const tookMs = performance.now() - startedAt;
      latency.recordValue(Math.round(tookMs * MICROSECONDS));
    }
    const millis = (percentile: number) =>
      (latency.getValueAtPercentile(percentile) / MICROSECONDS).toFixed(2);
    console.log(
      `connection=${freshConnection ? "fresh" : "kept"} calls=${CALLS} ` +
        `p50_ms=${millis(50)} p99_ms=${millis(99)}`,
    );
  }
  server.closeAllConnections();
  server.close();
}
