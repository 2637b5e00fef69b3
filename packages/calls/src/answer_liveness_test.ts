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
   * One stage of three is frozen: its connection stays open, and the probe of
   * it never returns. Only that stage may be reported lost.
   */
  it("finds a frozen stage whose probe never returns", async () => {
    const engines = createScriptedEngines([]);
    const { readState } = engines;
    engines.readState = (address) =>
      address.port === 12 ? new Promise(() => {}) : readState(address);
    const { restarted, silent } = await findLostStages(stages, {
      engines,
      fleet,
      incarnations: new Map(),
      probeMs: 60_000,
    });
    expect(silent.map(({ engine }) => engine)).toEqual(["engine-12"]);
    expect(restarted).toEqual([]);
  });
});

describe("token pace", () => {
  /**
   * An answer has 30 ms between tokens, later 2 s on a busy engine. The silence
   * after which stages are probed follows the average gap within its bounds, so
   * that neither a fast nor a slow engine is probed at each token.
   */
  it("adapts the silence threshold within its bounds", () => {
    const pace = createTokenPace(defaultLiveness);
    const first = pace.silenceThresholdMs();
    pace.observe(30);
    const fast = pace.silenceThresholdMs();
    for (let count = 0; count < 50; count++) pace.observe(2_000);
    expect([first, fast, pace.silenceThresholdMs()]).toEqual([500, 150, 1_000]);
  });
});

describe("event reader", () => {
  /** A token that arrives just after a timeout must not be lost. */
  it("keeps an event that arrives after a timeout", async () => {
    let sendEvent = (_event: EngineEvent) => {};
    async function* stream(): AsyncGenerator<EngineEvent> {
      yield await new Promise<EngineEvent>((resolve) => {
        sendEvent = resolve;
      });
    }
    const reader = createEventReader(stream());
    expect(await reader.next(1)).toEqual({ kind: "timeout" });
    const event = { type: "started", attempt: 1 } as const;
    sendEvent(event);
    await new Promise((resolve) => setTimeout(resolve, 1));
    expect(reader.hasPendingEvent()).toBe(true);
    expect(await reader.next(1_000)).toEqual({ kind: "event", event });
    expect(reader.hasPendingEvent()).toBe(false);
  });

  /**
   * A caller reads slowly. Events read ahead of it would accumulate in the
   * memory of the entry instance; unread ones apply backpressure to the engine.
   */
  it("does not read ahead of the caller", async () => {
    let eventsRead = 0;
    async function* stream(): AsyncGenerator<EngineEvent> {
      while (true) {
        eventsRead += 1;
        yield { type: "started", attempt: eventsRead };
      }
    }
    const reader = createEventReader(stream());
    await reader.next(1_000);
    await new Promise((resolve) => setTimeout(resolve, 1));
    expect(eventsRead).toBe(1);
  });
});
