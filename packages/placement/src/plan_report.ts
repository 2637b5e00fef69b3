/** Reports a plan to operators: a log line, warnings and a metric. */
import type { PlacedModelSettings } from "@rosemarypin/schemas";
import { createLogger, type Metrics } from "@rosemarypin/telemetry";
import type { VersionedPlan } from "./version_plan.ts";

const log = createLogger("placement");

/** The domain and models of a plan, and the metrics to report it to. */
export interface PlanReportContext {
  readonly domain: string;
  readonly models: readonly PlacedModelSettings[];
  readonly metrics: Metrics | undefined;
}

/** Logs a new plan and its shortages, and sets the planned pipelines metric. */
export function reportPlan(
  plan: VersionedPlan,
  report: PlanReportContext & { readonly tookMs: number },
): void {
  const { domain, models, metrics, tookMs } = report;
  log.info("placement_planned", {
    domain,
    pipelines: plan.pipelines.length,
    moved_megabytes: Math.round(plan.movedMegabytes),
    took_ms: Math.round(tookMs),
  });
  for (const { model, versionsAtOnce } of models) {
    const modelPipelines = plan.pipelines.filter(
      (pipeline) => pipeline.model === model,
    );
    metrics?.plannedPipelines.set({ domain, model }, modelPipelines.length);
    const plannedVersions = plan.versionsAtOnce.get(model) ?? versionsAtOnce;
    if (plannedVersions >= versionsAtOnce) continue;
    log.warn("placement_short", { domain, model, kind: "no_room_beside" });
  }
  for (const { model, kind } of plan.shortages) {
    log.warn("placement_short", { domain, model, kind });
  }
}

/**
 * Removes the planned pipelines metric, because another instance may plan the
 * domain next.
 */
export function removePlanMetrics({
  domain,
  models,
  metrics,
}: PlanReportContext): void {
  for (const { model } of models) {
    metrics?.plannedPipelines.remove(domain, model);
  }
}
