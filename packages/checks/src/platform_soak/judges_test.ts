import { describe, expect, it } from "vitest";
import { judgeCalls, type SoakCall } from "./judges.ts";

function call(change: Partial<SoakCall>, answer: object = {}): SoakCall {
  return {
    id: "r",
    kind: "order",
    events: 2,
    onlyPlanned: false,
    answer: {
      status: 200,
      headers: {},
      body: "done by p-1",
      whole: true,
      tookMs: 1,
      refused: false,
      onKeptConnection: false,
      ...answer,
    },
    ...change,
  };
}

const stream = { kind: "stream" } as const;
const whole = "id: 1\ndata: r.1\n\nid: 2\ndata: r.2\n\n";

describe("the judges of the soak", () => {
  it.each([
    ["ran twice", call({}), 2],
    ["was refused and ran", call({}, { status: 503 }), 1],
    ["has another body", call({}, { body: "done by nobody" }), 1],
    ["misses an event", call(stream, { body: "id: 2\ndata: r.2\n\n" }), 1],
    ["has another's event", call(stream, { body: "id: 1\ndata: q.1\n\n" }), 1],
    ["looks whole", call(stream, { body: "id: 1\ndata: r.1\n\n" }), 1],
    ["was cut by a stop", call({ onlyPlanned: true }, { status: 0 }), 0],
    [
      "ran and was cut by a stop on a kept connection",
      call({ onlyPlanned: true }, { status: 0, onKeptConnection: true }),
      1,
    ],
  ])("see a request that %s", (_name, seen, runs) => {
    expect(judgeCalls([seen], () => runs)).toHaveLength(1);
  });

  it.each([
    ["an order that ran once", call({}), 1],
    ["a true refusal", call({}, { status: 503 }), 0],
    [
      "a connection that nothing took",
      call({ onlyPlanned: true }, { status: 0, refused: true }),
      0,
    ],
    [
      "a request that crossed the close of its kept connection",
      call({ onlyPlanned: true }, { status: 0, onKeptConnection: true }),
      0,
    ],
    ["a whole stream", call(stream, { body: whole }), 1],
    [
      "a stream that was cut",
      call(stream, { body: "id: 1\ndata: r.1\n\n", whole: false }),
      1,
    ],
  ])("pass %s", (_name, seen, runs) => {
    expect(judgeCalls([seen], () => runs)).toEqual([]);
  });
});
