import type { EngineFleet } from "@rosemarypin/backends";
import { createScriptedEngines, scriptedAddress } from "@rosemarypin/fakes";
import type { EngineEvent, Stage } from "@rosemarypin/schemas";
import { describe, expect, it } from "vitest";
import {
  createEventReader,
  createTokenPace,
  defaultLiveness,
  findLostStages,
} from "./answer_liveness.ts";

const fleet: EngineFleet = {
  engines: () => [],
  observe() {},
  reportLost() {},
  occupy: () => () => {},
  stop() {},
};

const stages = [11, 12, 13].map(
  (port): Stage => ({
    engine: `engine-${port}`,
    address: scriptedAddress(port),
    layers: { from: port, to: port + 1 },
  }),
);

describe("probe of the stages", () => {
  /**
   * One stage of three is frozen: the connection stands and nothing comes.
   * Only that stage may be given up; the probe of it never answers at all.
   */
  it("the one silent stage is found, though its probe never ends", async () => {
    const engines = createScriptedEngines([]);
    const { readState } = engines;
    engines.readState = (address) =>
      address.port === 12 ? new Promise(() => {}) : readState(address);
    const lost = await findLostStages(stages, {
      engines,
      fleet,
      incarnations: new Map(),
      probeMs: 60_000,
    });
    expect(lost.map(({ engine }) => engine)).toEqual(["engine-12"]);
  });
});

describe("token pace", () => {
  /**
   * An answer has come at 10 ms a token; then at 2 s a token on a busy engine.
   * The silence that is looked into follows the pace, within its bounds, so
   * that neither a fast nor a slow engine is probed at each token.
   */
  it("the silence that is looked into follows the pace", () => {
    const pace = createTokenPace(defaultLiveness);
    const first = pace.silenceMs();
    pace.observe(30);
    const fast = pace.silenceMs();
    for (let count = 0; count < 50; count++) pace.observe(2_000);
    expect([first, fast, pace.silenceMs()]).toEqual([500, 150, 1_000]);
  });
});

describe("event reader", () => {
  /** A token comes just after the silence was noticed: it must not be lost. */
  it("no event is lost by looking into a silence", async () => {
    let give = (_event: EngineEvent) => {};
    async function* stream(): AsyncGenerator<EngineEvent> {
      yield await new Promise<EngineEvent>((resolve) => {
        give = resolve;
      });
    }
    const reader = createEventReader(stream());
    expect(await reader.next(1)).toEqual({ kind: "silent" });
    const event = { type: "started", attempt: 1 } as const;
    give(event);
    await new Promise((resolve) => setTimeout(resolve, 1));
    expect(reader.hasEvent()).toBe(true);
    expect(await reader.next(1_000)).toEqual({ kind: "event", event });
    expect(reader.hasEvent()).toBe(false);
  });

  /**
   * A caller reads slowly. Events that are read ahead of it would pile up in
   * the entry instance; unread, they stay with the engine, which then waits.
   */
  it("no event is read ahead of the caller", async () => {
    let given = 0;
    async function* stream(): AsyncGenerator<EngineEvent> {
      while (true) {
        given += 1;
        yield { type: "started", attempt: given };
      }
    }
    const reader = createEventReader(stream());
    await reader.next(1_000);
    await new Promise((resolve) => setTimeout(resolve, 1));
    expect(given).toBe(1);
  });
});
