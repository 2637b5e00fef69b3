/** Checks of automatic placement against the engines of the settings. */
import type { Settings } from "./settings.ts";
import { findRepeated, type SettingsProblem } from "./settings_problem.ts";

/** Finds what does not fit together; the settings are valid by schema. */
export function checkPlacement(settings: Settings): SettingsProblem[] {
  const { accelerators, models } = settings.placement;
  const names = accelerators.map(({ name }, index) => ({
    path: ["placement", "accelerators", index, "name"],
    value: name,
  }));
  const placed = models.map(({ model }, index) => ({
    path: ["placement", "models", index, "model"],
    value: model,
  }));
  return [
    ...findRepeated(names, "expected a name that no other accelerator has"),
    ...findRepeated(placed, "expected a model that is not placed already"),
    ...checkEnginesWithoutRoles(settings),
    ...checkRolesOfPlaced(settings),
  ];
}

function checkEnginesWithoutRoles(settings: Settings): SettingsProblem[] {
  const { accelerators, models } = settings.placement;
  const free = settings.engines.flatMap((engine, index) =>
    engine.roles.length === 0 ? [{ engine, index }] : [],
  );
  if (models.length > 0 && free.length === 0) {
    const message = "expected an engine without roles for these models";
    return [{ path: ["placement", "models"], message }];
  }
  return free.flatMap(({ engine, index }): SettingsProblem[] => {
    if (models.length === 0) {
      const message = "expected a role, or a model in placement.models";
      return [{ path: ["engines", index, "roles"], message }];
    }
    if (accelerators.some(({ name }) => name === engine.accelerator)) return [];
    const message = `expected one of placement.accelerators, not '${engine.accelerator}'`;
    return [{ path: ["engines", index, "accelerator"], message }];
  });
}

/** Fixed and automatic ranges of one model would not line up. */
function checkRolesOfPlaced(settings: Settings): SettingsProblem[] {
  const placed = new Set(settings.placement.models.map(({ model }) => model));
  return settings.engines.flatMap(({ roles }, index) =>
    roles.flatMap(({ model }, role) =>
      placed.has(model)
        ? [
            {
              path: ["engines", index, "roles", role, "model"],
              message: `expected a model that placement.models does not name, not '${model}'`,
            },
          ]
        : [],
    ),
  );
}
