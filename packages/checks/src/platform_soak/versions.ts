/** Versions of the configuration in a run, and what they allow a request. */
import {
  type ConfigurationContent,
  type ContentChange,
  type Deployment,
  hasKey,
  servicesOf,
  withLimits,
  withoutKeys,
  withoutRoute,
  withoutUnusedService,
  withRouteMoved,
  withRouteSplit,
  withService,
  withTimeout,
} from "@rosemarypin/platform/stand_in";
import type { SeededRandom } from "../seeded_random.ts";
import {
  keyOf,
  ORGANISATIONS,
  routeOf,
  type SoakRequest,
} from "./soak_request.ts";
import { sleep } from "./timing.ts";

/** Service that no route of the first version uses. */
export const SPARE_SERVICE = "annex";
/** Ids of its servers. */
export const SPARE_SERVERS: ReadonlySet<string> = new Set(["p-2", "p-3"]);
/** Time until a version is in force at all instances that reach the store. */
const APPLY_MS = 2_000;
const ROUTES = ["ask", "tell", "say", "order", "look"] as const;
const PLAIN_ROUTES = ["order", "look"] as const;

const WITHOUT_SPARE = withoutUnusedService(SPARE_SERVICE);

/** In how many of the versions that may be in force something is. */
type Presence = "all" | "some" | "none";

/** What the versions that may be in force during a request allow. */
export interface Allowance {
  readonly route: Presence;
  readonly key: Presence;
  /** Services that the route leads to in some version. */
  readonly services: readonly string[];
  readonly minTimeoutMs: number;
  readonly maxTimeoutMs: number;
}

export interface Versions {
  /** Writes a version with the changes in progress. */
  publish(): void;
  /** Writes versions one after the other until their changes are undone. */
  playSeries(random: SeededRandom): Promise<void>;
  /**
   * What a request was allowed that was answered just now. An instance that was
   * not in touch may have used any version so far.
   */
  allowanceOf(
    request: SoakRequest,
    options: { readonly sentAt: number; readonly wasInTouch: boolean },
  ): Allowance;
}

/** Writes the first version; later ones build on the deployment's own. */
export function createVersions(deployment: Deployment): Versions {
  const base = withService(SPARE_SERVICE)(
    deployment.store.get("config", "main")?.spec as ConfigurationContent,
  );
  const changes = new Set<ContentChange>();
  const history: {
    readonly at: number;
    readonly content: ConfigurationContent;
  }[] = [];
  publish();

  function publish(): void {
    // A service can be left out where no other change leads a route to it.
    const ordered = [...changes].sort(
      (a, b) => Number(a === WITHOUT_SPARE) - Number(b === WITHOUT_SPARE),
    );
    const content = ordered.reduce<ConfigurationContent>(
      (changed, change) => change(changed),
      base,
    );
    deployment.configure({ ...content });
    history.push({ at: performance.now(), content });
  }

  async function play(change: ContentChange, lastsMs: number): Promise<void> {
    changes.add(change);
    publish();
    await sleep(lastsMs);
    changes.delete(change);
    publish();
  }

  function possibleContents(
    sentAt: number,
    wasInTouch: boolean,
  ): ConfigurationContent[] {
    return history
      .filter((_, index) => {
        const replacedAt = history[index + 1]?.at ?? Infinity;
        return !wasInTouch || replacedAt + APPLY_MS >= sentAt;
      })
      .map(({ content }) => content);
  }

  return {
    publish,
    async playSeries(random) {
      const count = random.between(2, 4);
      const played: Promise<void>[] = [];
      for (let index = 0; index < count; index += 1) {
        played.push(play(drawChange(random), random.between(300, 3_000)));
        await sleep(random.between(20, 800));
      }
      await Promise.all(played);
    },
    allowanceOf(request, { sentAt, wasInTouch }) {
      const contents = possibleContents(sentAt, wasInTouch);
      const name = routeOf(request);
      const key = keyOf(request);
      const routes = contents.map((content) =>
        content.routes.find((route) => route.name === name),
      );
      const timeouts = routes.flatMap((route) => route?.timeout_ms ?? []);
      return {
        route: presenceOf(routes.map((route) => route !== undefined)),
        key: presenceOf(contents.map((content) => hasKey(content, key))),
        services: routes.flatMap((route) => (route ? servicesOf(route) : [])),
        minTimeoutMs: Math.min(...timeouts),
        maxTimeoutMs: Math.max(0, ...timeouts),
      };
    },
  };
}

function drawChange(random: SeededRandom): ContentChange {
  const route = random.pick(ROUTES);
  const plainRoute = random.pick(PLAIN_ROUTES);
  const organisation = random.pick(ORGANISATIONS);
  const timeoutMs = random.pick([1_500, 2_500, 8_000]);
  const weight = random.between(1, 9);
  const limits = {
    idleTimeoutMs: random.pick([1_000, 2_000, 30_000]),
    headerTimeoutMs: random.pick([1_000, 10_000]),
    bodyBytes: random.pick([1_000, 1_000_000]),
  };
  return random.pick([
    withoutRoute(route),
    withRouteMoved(plainRoute, SPARE_SERVICE),
    withRouteSplit(plainRoute, SPARE_SERVICE, { weight }),
    withoutKeys(organisation),
    withTimeout(timeoutMs),
    withLimits(limits),
    WITHOUT_SPARE,
  ]);
}

function presenceOf(present: readonly boolean[]): Presence {
  if (present.every(Boolean)) return "all";
  return present.some(Boolean) ? "some" : "none";
}
