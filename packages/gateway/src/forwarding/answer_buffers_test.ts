import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { describe, expect, it } from "vitest";
import { type AnswerBuffers, createAnswerBuffers } from "./answer_buffers.ts";

const CHUNK = Buffer.alloc(100);
const { signal } = new AbortController();

function createResponse() {
  const response = Object.assign(new EventEmitter(), { closed: false });
  return {
    response: response as unknown as ServerResponse,
    close() {
      response.closed = true;
      response.emit("close");
    },
  };
}

function read(buffers: AnswerBuffers, chunks: number) {
  const { response, close } = createResponse();
  let taken = 0;
  async function* body() {
    for (; taken < chunks; taken += 1) {
      await new Promise((resolve) => setImmediate(resolve));
      yield CHUNK;
    }
  }
  const result = buffers.read({ body: body() }, { response, signal });
  result.catch(() => {});
  return { result, close, taken: () => taken };
}

const settle = () => new Promise((resolve) => setTimeout(resolve, 50));

// Guards against answers that fill the memory of an instance, one by one or in
// sum, and against answers that wait for each other for good.
describe("answer buffers", () => {
  it("fail an answer that is too long, and forget its bytes", async () => {
    const buffers = createAnswerBuffers({ maxAnswerBytes: 1_000 });
    await expect(read(buffers, 11).result).rejects.toThrow("without an end");
    expect(buffers.heldBytes()).toBe(0);
    expect((await read(buffers, 10).result).length).toBe(1_000);
  });

  it("hold an answer until it is sent", async () => {
    const buffers = createAnswerBuffers();
    const { result, close } = read(buffers, 3);
    await result;
    expect(buffers.heldBytes()).toBe(300);
    close();
    expect(buffers.heldBytes()).toBe(0);
  });

  it("let long answers wait while others are being sent", async () => {
    const buffers = createAnswerBuffers({ maxTotalBytes: 900, freeBytes: 200 });
    const first = read(buffers, 8);
    await first.result;
    const long = read(buffers, 9);
    const short = read(buffers, 2);
    expect((await short.result).length).toBe(200);
    await settle();
    expect(long.taken()).toBeLessThan(9);
    first.close();
    short.close();
    expect((await long.result).length).toBe(900);
  });

  it("read one after the other if they would wait for each other", async () => {
    const buffers = createAnswerBuffers({ maxTotalBytes: 900, freeBytes: 0 });
    const all = [8, 8, 8].map((chunks) => read(buffers, chunks));
    for (const { result, close } of all) {
      expect((await result).length).toBe(800);
      close();
    }
    expect(buffers.heldBytes()).toBe(0);
  });
});
