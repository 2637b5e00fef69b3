import { claimPorts } from "@rosemarypin/ports";
import type { AttemptRequest } from "@rosemarypin/schemas";
import { request } from "undici";
import { afterEach, beforeEach, expect, test } from "vitest";
import { type EngineGroup, startEngineGroup } from "./engine_group.ts";
import { embed } from "./layer_math.ts";
import type { EngineMessage, StepsReply } from "./step.ts";

const SPEED = {
  batchMs: 1,
  layerMicros: 0,
  promptFactor: 0.1,
  linkMs: 0,
  batchSize: 8,
};

let group: EngineGroup;

beforeEach(async () => {
  const ports = await claimPorts(2);
  group = await startEngineGroup({
    model: "assist",
    versions: ["v1"],
    stages: [
      { layers: { from: 0, to: 2 }, count: 1, speed: SPEED },
      { layers: { from: 2, to: 4 }, count: 1, speed: SPEED },
    ],
    nextAddress: () => ({ host: "127.0.0.1", port: ports.shift() ?? 0 }),
  });
});

afterEach(() => group.stop());

function attempt(number: number): AttemptRequest {
  return {
    requestId: "answer-1",
    organisation: "kano",
    attempt: number,
    model: "assist",
    version: "v1",
    noteNumber: 1,
    stages: group.engines.map(({ id, address, roles }) => ({
      engine: id,
      address,
      layers: roles[0]?.layers ?? { from: 0, to: 1 },
    })),
    promptTokens: ["a", "b"],
    deliveredTokens: [],
    maxTokens: 4,
    priority: "standard",
  };
}

function step(number: number, open: boolean): EngineMessage {
  return {
    type: "step",
    requestId: "answer-1",
    attempt: number,
    stage: 1,
    position: 0,
    inputs: [embed("a", 0), embed("b", 1)],
    ...(open ? { open: attempt(number) } : {}),
  };
}

async function sendToLast(message: EngineMessage): Promise<StepsReply> {
  const { address } = group.engines[1] ?? { address: { port: 0 } };
  const url = `http://127.0.0.1:${address.port}/steps`;
  const body = JSON.stringify([message]);
  const response = await request(url, { method: "POST", body });
  return (await response.body.json()) as StepsReply;
}

async function sendToFirst(path: string, message: unknown): Promise<void> {
  const { address } = group.engines[0] ?? { address: { port: 0 } };
  const url = `http://127.0.0.1:${address.port}${path}`;
  const body = JSON.stringify(message);
  const response = await request(url, { method: "POST", body });
  response.body.on("error", () => {}).resume();
}

async function settle(): Promise<string[]> {
  await new Promise((resolve) => setTimeout(resolve, 50));
  return group.journal.map((run) => `attempt ${run.attempt}`);
}

/**
 * A message of a given-up attempt hangs in a slow link and comes after the
 * next attempt began. Opened again, the old attempt would take the place of
 * the new one, and layers would run for an answer that nobody reads.
 */
test("a late message of an older attempt runs nothing", async () => {
  await sendToLast(step(2, true));
  expect(await settle()).toEqual(["attempt 2"]);
  await sendToLast(step(1, true));
  expect(await settle()).toEqual(["attempt 2"]);
});

/** The same, when the newer attempt is already stopped and parked. */
test("nor after the newer attempt was stopped", async () => {
  const close = { type: "close", requestId: "answer-1", attempt: 2 } as const;
  await sendToLast(step(2, true));
  await sendToLast({ ...close, drop: false });
  await settle();
  await sendToLast(step(2, true));
  await sendToLast(step(1, true));
  expect(await settle()).toEqual(["attempt 2"]);
});

/**
 * A frozen engine goes on after the answer has ended elsewhere, and sends
 * what it held to an engine that was restarted meanwhile. The restarted one
 * knows nothing of the attempt's end; the incarnation tells it.
 */
test("a restarted engine runs nothing that was planned before", async () => {
  const late = step(1, true);
  if (late.type !== "step" || !late.open) throw new Error("a step opens");
  const stages = late.open.stages.map((stage) => ({
    ...stage,
    incarnation: 1,
  }));
  await sendToLast({ ...late, open: { ...late.open, stages } });
  await sendToFirst("/attempts", { ...late.open, stages });
  expect(await settle()).toEqual([]);
});

/** A message comes twice: each layer still runs once for the position. */
test("a repeated message runs nothing", async () => {
  await sendToLast(step(1, true));
  await sendToLast(step(1, true));
  expect(await settle()).toEqual(["attempt 1"]);
});

/**
 * The last stage's token comes to the first stage twice. Kept twice, it
 * would be in the answer twice for a caller who resumes it.
 */
test("a repeated token is kept once", async () => {
  group.freeze("engine-2-1");
  await sendToFirst("/attempts", attempt(1));
  const result = {
    kind: "token",
    index: 0,
    text: "w",
    digest: "",
    isStop: false,
  };
  const back = { type: "return", requestId: "answer-1", attempt: 1, result };
  await sendToFirst("/steps", [back, back]);
  const { address } = group.engines[0] ?? { address: { port: 0 } };
  const url = `http://127.0.0.1:${address.port}/attempts/answer-1`;
  const response = await request(url);
  expect(await response.body.json()).toMatchObject({ tokens: ["w"] });
});

/**
 * A stage was restarted with empty memory. If it took messages in silence,
 * the stage before it would believe that its work goes on.
 */
test("an engine says that it knows nothing of a request", async () => {
  expect(await sendToLast(step(1, false))).toEqual({ unknown: ["answer-1"] });
});

/**
 * Placement takes a later stage's layers away while an answer runs. Left to
 * itself, the first stage would wait for tokens until the answer is given up
 * on as silent; told, the answer goes on elsewhere at once.
 */
test("an engine that loses its layers tells the first stage", async () => {
  const [first, last] = group.engines;
  if (!first || !last) throw new Error("the group has two engines");
  const body = JSON.stringify({ ...attempt(1), maxTokens: 100_000 });
  const url = `http://127.0.0.1:${first.address.port}/attempts`;
  const running = await request(url, { method: "POST", body });
  const order = { fencingNumber: 9, noteNumber: 1, hold: [], adapters: [] };
  await settle();
  const ordered = `http://127.0.0.1:${last.address.port}/order`;
  await request(ordered, { method: "POST", body: JSON.stringify(order) });
  const lines = (await running.body.text()).trim().split("\n");
  const lost = lines.find((line) => line.includes("stage_lost"));
  expect(JSON.parse(lost ?? "{}")).toMatchObject({
    stage: 1,
    cause: "unreachable",
    reason: "no longer held",
  });
});

/**
 * An answer moves on as attempt 2; then its entry instance dies, and its caller
 * comes back with the id of an event from the old engine. Told of attempt 1,
 * the next instance would begin attempt 2 as well, and both would run.
 */
test("a moved answer is read with the number it goes on under", async () => {
  await sendToFirst("/attempts", attempt(1));
  await settle();
  const { model, version, requestId } = attempt(1);
  const layers = { from: 0, to: 2 };
  const wanted = { requestId, attempt: 2, model, version, layers };
  await sendToFirst("/cache/export", { ...wanted, positions: 2 });
  const { address } = group.engines[0] ?? { address: { port: 0 } };
  const url = `http://127.0.0.1:${address.port}/attempts/answer-1`;
  const response = await request(url);
  expect(await response.body.json()).toMatchObject({ request: { attempt: 2 } });
});
