/** Computes the transfer that a plan needs from the weight store. */
import type { PlanEngine, PlanModel, PlannedPipeline } from "./plan_types.ts";

/** Megabytes of one version that the stages' engines have to load. */
export function movedMegabytes(
  pipeline: Pick<PlannedPipeline, "stages">,
  context: {
    readonly model: PlanModel;
    readonly engines: ReadonlyMap<string, PlanEngine>;
  },
): number {
  const { model, engines } = context;
  let layers = 0;
  for (const { engine, from, to } of pipeline.stages) {
    const holds = engines.get(engine)?.holds ?? [];
    for (let layer = from; layer < to; layer++) {
      const isHeld = holds.some(
        (held) =>
          held.model === model.model &&
          held.layers.from <= layer &&
          layer < held.layers.to,
      );
      if (!isHeld) layers += 1;
    }
  }
  return layers * model.loadMegabytes;
}
