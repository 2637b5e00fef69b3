/** What operators see of a plan: a log line, warnings and a metric. */
import type { PlacedModelSettings } from "@rosemarypin/schemas";
import { createLogger, type Metrics } from "@rosemarypin/telemetry";
import type { RoomPlan } from "./plan_room.ts";

const log = createLogger("placement");

/** Whose plan it is. */
export interface PlanReport {
  readonly domain: string;
  readonly models: readonly PlacedModelSettings[];
  readonly metrics: Metrics | undefined;
}

/** Tells of a new plan, and of what the engines do not allow. */
export function reportPlan(
  plan: RoomPlan,
  report: PlanReport & { readonly tookMs: number },
): void {
  const { domain, models, metrics, tookMs } = report;
  log.info("placement_planned", {
    domain,
    pipelines: plan.pipelines.length,
    moved_megabytes: Math.round(plan.movedMegabytes),
    took_ms: Math.round(tookMs),
  });
  for (const { model, versionsAtOnce } of models) {
    const own = plan.pipelines.filter((pipeline) => pipeline.model === model);
    metrics?.plannedPipelines.set({ domain, model }, own.length);
    const room = plan.versionsAtOnce.get(model) ?? versionsAtOnce;
    if (room >= versionsAtOnce) continue;
    log.warn("placement_short", { domain, model, kind: "no_room_beside" });
  }
  for (const { model, kind } of plan.shortages) {
    log.warn("placement_short", { domain, model, kind });
  }
}

/** Takes the metric back: another instance may plan from now on. */
export function forgetPlan({ domain, models, metrics }: PlanReport): void {
  for (const { model } of models) {
    metrics?.plannedPipelines.remove(domain, model);
  }
}
