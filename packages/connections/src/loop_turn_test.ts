import { setImmediate as nextTurn } from "node:timers/promises";
import { expect, it } from "vitest";
import { createLoopTurn } from "./loop_turn.ts";

// Guards against connections whose work keeps the event loop from all others.
it("is over once its time is taken, until the next one", async () => {
  const turn = createLoopTurn(() => 0);
  turn.spend(9);
  expect(turn.isOver()).toBe(false);
  turn.spend(1);
  expect(turn.isOver()).toBe(true);
  await nextTurn();
  expect(turn.isOver()).toBe(false);
});

// Guards against a small request that waits for all costly ones.
it("goes on with those that have taken least, while there is time", async () => {
  const turn = createLoopTurn(() => 0);
  const order: number[] = [];
  for (const spentMs of [40, 2, 30, 1]) {
    turn.waitForNext({ spentMs }, () => {
      order.push(spentMs);
      turn.spend(6);
    });
  }
  await nextTurn();
  expect(order).toEqual([1, 2]);
  await nextTurn();
  expect(order).toEqual([1, 2, 30, 40]);
});

// Guards against callers that wait in the backlog behind a crowd: the event loop
// accepts one connection in a turn.
it("is shorter while connections come", async () => {
  const turn = createLoopTurn(() => 0);
  turn.accept();
  turn.spend(1);
  expect(turn.isOver()).toBe(true);
  await nextTurn();
  turn.spend(1);
  expect(turn.isOver()).toBe(false);
});

// Guards against requests that cost little to parse and much to handle: all
// that come in one turn would make the next ones long.
it("is over after few pieces where each makes turns long", async () => {
  let active = 0;
  const turn = createLoopTurn(() => active);
  for (let count = 0; count < 40; count += 1) {
    turn.spend(0);
    active += 5;
    await nextTurn();
  }
  const parsed = () => {
    let pieces = 0;
    for (; pieces < 100 && !turn.isOver(); pieces += 1) turn.spend(0);
    return pieces;
  };
  expect(parsed()).toBe(4);
  await nextTurn();
  turn.accept();
  expect(parsed()).toBe(1);
});
