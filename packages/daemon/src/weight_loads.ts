/** The way to the weight store that the settings name. */

import type { Settings } from "@rosemarypin/schemas";
import {
  createHttpWeightStore,
  createWeightLoader,
  type WeightLoader,
} from "@rosemarypin/store";

/** Without a weight store, engines are taken to have weights at hand. */
const atHand: WeightLoader = { load: () => Promise.resolve(true) };

/** Creates the loader that the domains of this instance share. */
export function createLoader(settings: Settings): WeightLoader {
  const url = settings.platform.weightStore;
  if (!url) return atHand;
  const { loadMegabytesPerSecond: megabytesPerSecond } = settings.placement;
  const store = createHttpWeightStore({ url, megabytesPerSecond });
  return createWeightLoader({ store, megabytesPerSecond });
}
