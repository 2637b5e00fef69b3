/** What an engine was last ordered to hold, and whether it is leaving. */
import type { AttemptRequest, EngineOrder } from "@rosemarypin/schemas";

/** The engine's current order. */
export interface OrderState {
  current(): EngineOrder;
  /** Returns false when the order is refused for an old fencing number. */
  take(next: EngineOrder): boolean;
  holds(answer: Pick<AttemptRequest, "model" | "version">): boolean;
  /** Whether the layers of a stage of the answer are held. */
  holdsStage(answer: AttemptRequest, stage: number): boolean;
  leave(): void;
  isLeaving(): boolean;
}

/** Creates the state of an engine that holds nothing yet. */
export function createOrderState(options: {
  /** Whether the engine refuses an old fencing number or ignores it. */
  readonly checksFencing: boolean;
}): OrderState {
  let order: EngineOrder = {
    fencingNumber: 0,
    noteNumber: 0,
    hold: [],
    adapters: [],
  };
  let leaving = false;
  return {
    current: () => order,
    take(next) {
      const isOld = next.fencingNumber < order.fencingNumber;
      if (options.checksFencing && isOld) return false;
      order = next;
      return true;
    },
    holds: ({ model, version }) =>
      order.hold.some(
        (held) => held.model === model && held.version === version,
      ),
    holdsStage({ model, version, stages }, stage) {
      const wanted = stages[stage]?.layers;
      return order.hold.some(
        ({ layers, ...held }) =>
          held.model === model &&
          held.version === version &&
          // Planned on what the engine held before, a stage would run layers
          // whose weights have gone.
          (!wanted || (layers.from <= wanted.from && wanted.to <= layers.to)),
      );
    },
    leave() {
      leaving = true;
    },
    isLeaving: () => leaving,
  };
}
