import { expect, it } from "vitest";
import { createUdpTransport } from "./datagram_transport.ts";

// Guards against an address of another writer that ends the process.
it("a datagram to a port that is none is dropped", async () => {
  const rejections: unknown[] = [];
  const record = (reason: unknown) => rejections.push(reason);
  process.on("unhandledRejection", record);
  const transport = await createUdpTransport({ host: "127.0.0.1", port: 0 });
  transport.send(Buffer.from("x"), { host: "127.0.0.1", port: 99_999 });
  await new Promise((resolve) => setTimeout(resolve, 50));
  await transport.close();
  process.off("unhandledRejection", record);
  expect(rejections).toEqual([]);
});
