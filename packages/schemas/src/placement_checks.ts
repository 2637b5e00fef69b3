/** Checks the settings of automatic placement against those of engines. */
import type { Settings } from "./settings.ts";
import { findDuplicates, type SettingsProblem } from "./settings_problem.ts";

/** Finds inconsistencies in settings that are valid by the schema. */
export function checkPlacement(settings: Settings): SettingsProblem[] {
  const { accelerators, models } = settings.placement;
  const acceleratorNames = accelerators.map(({ name }, index) => ({
    path: ["placement", "accelerators", index, "name"],
    value: name,
  }));
  const placedModels = models.map(({ model }, index) => ({
    path: ["placement", "models", index, "model"],
    value: model,
  }));
  return [
    ...findDuplicates(
      acceleratorNames,
      "expected a name that no other accelerator has",
    ),
    ...findDuplicates(
      placedModels,
      "expected a model that no other entry of placement.models has",
    ),
    ...checkEnginesWithoutRoles(settings),
    ...checkRolesOfPlacedModels(settings),
  ];
}

function checkEnginesWithoutRoles(settings: Settings): SettingsProblem[] {
  const { accelerators, models } = settings.placement;
  const enginesWithoutRoles = settings.engines.flatMap((engine, index) =>
    engine.roles.length === 0 ? [{ engine, index }] : [],
  );
  if (models.length > 0 && enginesWithoutRoles.length === 0) {
    const message = "expected an engine without roles for these models";
    return [{ path: ["placement", "models"], message }];
  }
  return enginesWithoutRoles.flatMap(({ engine, index }): SettingsProblem[] => {
    if (models.length === 0) {
      const message = "expected a role, or a model in placement.models";
      return [{ path: ["engines", index, "roles"], message }];
    }
    if (accelerators.some(({ name }) => name === engine.accelerator)) return [];
    const message = `expected one of placement.accelerators, not '${engine.accelerator}'`;
    return [{ path: ["engines", index, "accelerator"], message }];
  });
}

/**
 * Refuses roles of automatically placed models, since fixed and automatic layer
 * ranges of one model would not align.
 */
function checkRolesOfPlacedModels(settings: Settings): SettingsProblem[] {
  const placedModels = new Set(
    settings.placement.models.map(({ model }) => model),
  );
  return settings.engines.flatMap(({ roles }, index) =>
    roles.flatMap(({ model }, roleIndex) =>
      placedModels.has(model)
        ? [
            {
              path: ["engines", index, "roles", roleIndex, "model"],
              message: `expected a model that placement.models does not name, not '${model}'`,
            },
          ]
        : [],
    ),
  );
}
